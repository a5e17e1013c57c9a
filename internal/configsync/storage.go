package configsync

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"topazfall/internal/decide/configlog"
	"topazfall/internal/snapshot"
)

// The files of a state folder, and the kinds that stand in their first lines.
const (
	documentFile = "config-document.snapshot"
	documentKind = "config-document"
	voteFile     = "config-vote.snapshot"
	voteKind     = "config-vote"
)

// storage saves the state that an instance must keep across restarts: the document that it holds and, at an origin,
// its vote. Only one process at a time may use a folder.
type storage struct{ dir string }

// load returns the saved state. fault describes damage with which the instance can still start: the state that could
// not be read is left out. An origin has then lost state, and does not vote until the other origins have reported what
// it may have voted for. A document that is older than the one saved last counts as damage too.
func (s storage) load() (saved configlog.SavedState, fault, err error) {
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return saved, nil, err
	}
	document, documentFault := s.loadDocument()
	vote, hasVote, voteFault := s.loadVote()
	saved.Document = document
	if hasVote && vote.Accepted.Delta.Revision.Number > revisionOf(document).Number+1 {
		documentFault = errors.Join(documentFault, fmt.Errorf(
			"%s: more than one revision behind the vote", documentFile))
	}
	if documentFault == nil && voteFault == nil && hasVote {
		saved.Vote = vote
	}
	return saved, errors.Join(documentFault, voteFault), nil
}

// revisionOf returns the revision of a document, which may be nil.
func revisionOf(d *configlog.Document) (r configlog.Revision) {
	if d != nil {
		r = d.Revision()
	}
	return r
}

func (s storage) loadDocument() (*configlog.Document, error) {
	body, fault, err := snapshot.Read(filepath.Join(s.dir, documentFile), documentKind)
	if err != nil {
		return nil, err
	}
	if body == nil {
		return nil, fault
	}
	d, err := configlog.ParseDocument(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", documentFile, err)
	}
	return d, fault
}

// loadVote returns the vote saved last, and whether there is one. It does not fall back to the previous version of the
// file, which lacks the latest vote.
func (s storage) loadVote() (vote configlog.Vote, exists bool, fault error) {
	body, fault, err := snapshot.Read(filepath.Join(s.dir, voteFile), voteKind)
	if fault != nil || err != nil || body == nil {
		return vote, false, errors.Join(fault, err)
	}
	if vote, err = configlog.ParseVote(body); err != nil {
		return vote, false, fmt.Errorf("%s: %w", voteFile, err)
	}
	return vote, true, nil
}

func (s storage) saveDocument(d *configlog.Document) error {
	return snapshot.Write(filepath.Join(s.dir, documentFile), documentKind, configlog.AppendDocument(nil, d))
}

func (s storage) saveVote(v configlog.Vote) error {
	return snapshot.Write(filepath.Join(s.dir, voteFile), voteKind, configlog.AppendVote(nil, v))
}
