package configsync

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"topazfall/internal/decide/configlog"
	"topazfall/internal/snapshot"
)

// The files of a state folder, and what their first lines call them.
const (
	documentFile = "config-document.snapshot"
	documentKind = "config-document"
	voteFile     = "config-vote.snapshot"
	voteKind     = "config-vote"
)

// storage keeps what an instance must not forget: the document that it holds and, of an origin, its vote. Only one
// process at a time may use a folder.
type storage struct{ dir string }

// load returns what is saved. fault says what was wrong with it though the instance can go on: what could not be
// read is left out, and an origin then has forgotten, and does not vote before it has been told what it may have
// known. A document that is older than the one saved last is such a case too.
func (s storage) load() (saved configlog.SavedState, fault, err error) {
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return saved, nil, err
	}
	document, documentFault := s.loadDocument()
	vote, known, voteFault := s.loadVote()
	saved.Document = document
	if known && vote.Accepted.Delta.Revision.Number > held(document).Number+1 {
		documentFault = errors.Join(documentFault, fmt.Errorf("%s: older than what the vote is about", documentFile))
	}
	if documentFault == nil && voteFault == nil && known {
		saved.Vote = vote
	}
	return saved, errors.Join(documentFault, voteFault), nil
}

func held(d *configlog.Document) (r configlog.Revision) {
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

// loadVote returns the vote saved last, and whether there is one. The one before it would be a vote that is forgotten.
func (s storage) loadVote() (vote configlog.Vote, known bool, fault error) {
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
