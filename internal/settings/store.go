package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/snapshot"
)

const (
	snapshotKind      = "settings"
	maxKeptRevisions  = 1024                   // that watchers may still request, within maxKeptBytes
	lockRetryInterval = 200 * time.Millisecond // between attempts to lock a folder that another process has locked
)

// maxKeptBytes limits the encoded size of the revisions that are kept beside the current one. In memory they take
// several times as much.
const maxKeptBytes = 2 << 20

// Store keeps the current revision of the settings, which is in effect, and earlier ones. Accepted revisions are saved,
// and a restart needs nothing else. Only the process that has the lock of the folder accepts revisions. A process that
// is about to replace another reads the revisions that the other saves, and takes the lock when the other has ended.
type Store struct {
	path string
	done chan struct{}

	applying       sync.Mutex // held while a revision is saved
	mu             sync.Mutex
	revisions      []*pb.Revision // the last is the current one
	olderBytes     int            // encoded size of all revisions but the last
	changed        chan struct{}  // closed when a revision is added
	readOnlyReason string         // why no revision can be accepted; "" if it can
	lock           io.Closer
	closed         bool
	managed        bool          // revisions come from the installation's origins by ApplyManaged
	lockAcquired   chan struct{} // closed when this process has locked the folder
	lastRead       fileState     // of the snapshot that was read last
}

// fileState identifies a version of a file.
type fileState struct {
	info os.FileInfo // nil if the file was never read
}

func (f fileState) isSame(o os.FileInfo) bool {
	return f.info != nil && o != nil && os.SameFile(f.info, o) && f.info.ModTime().Equal(o.ModTime()) &&
		f.info.Size() == o.Size()
}

// StaleError rejects a document that was made from another revision than the current one.
type StaleError struct{ From, InForce uint64 }

func (e StaleError) Error() string {
	return fmt.Sprintf("the document was made from revision %d, but revision %d is in force", e.From, e.InForce)
}

// ErrManaged rejects a document at an instance whose revisions are made by the installation's origins (the instances
// that vote on settings).
var ErrManaged = errors.New("revisions are made by the installation's origins")

// ErrOlder rejects a revision that is older than the current one.
var ErrOlder = errors.New("it is older than the revision in force")

// ErrReadOnly is wrapped by errors that say why no revision can be accepted now.
var ErrReadOnly = errors.New("the settings are read-only")

// ErrGap means that the revisions after a number are no longer kept, or never existed.
var ErrGap = errors.New("the revisions after it are not kept")

// Open reads the revision saved in a folder, which it creates if it does not exist. A fault is reported if the last
// revision is damaged and the previous one is used instead.
func Open(dir string) (s *Store, fault, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	s = &Store{path: filepath.Join(dir, "settings.snapshot"), done: make(chan struct{}), changed: make(chan struct{}),
		lockAcquired: make(chan struct{})}
	s.lock, err = snapshot.Lock(dir)
	if err != nil {
		s.readOnlyReason = err.Error()
	}
	r, fault, err := s.load()
	if err != nil {
		if s.lock != nil {
			s.lock.Close()
		}
		return nil, nil, err
	}
	s.revisions = []*pb.Revision{r}
	if s.lock == nil {
		go s.awaitLock(dir)
	} else {
		close(s.lockAcquired)
	}
	return s, fault, nil
}

// SetManaged declares that revisions are made by the installation's origins and arrive through ApplyManaged. A revision
// that was applied at this instance alone stays in effect as revision 0 until the first revision of the origins
// arrives.
func (s *Store) SetManaged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.managed = true
	s.revisions, s.olderBytes = []*pb.Revision{s.adjustNumber(s.last())}, 0
}

// adjustNumber returns a revision with the number that it has here: in a managed store, 0 for one that was applied at
// this instance alone. s.mu must be held.
func (s *Store) adjustNumber(r *pb.Revision) *pb.Revision {
	if s.managed && r.Epoch == "" && r.Number != 0 {
		r = proto.CloneOf(r)
		r.Number = 0
	}
	return r
}

// LockAcquired returns a channel that is closed when this process has locked the folder.
func (s *Store) LockAcquired() <-chan struct{} { return s.lockAcquired }

// load reads the saved revision, or returns an empty one if none was saved.
func (s *Store) load() (r *pb.Revision, fault, err error) {
	r = &pb.Revision{Settings: &pb.Settings{}}
	if info, err := os.Stat(s.path); err == nil {
		s.lastRead = fileState{info}
	}
	body, fault, err := snapshot.Read(s.path, snapshotKind)
	if err != nil || body == nil {
		return r, fault, err
	}
	r = &pb.Revision{}
	if err := protojson.Unmarshal(body, r); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", s.path, err)
	}
	if r.Settings == nil {
		r.Settings = &pb.Settings{}
	}
	if faults := Check(r.Settings); len(faults) > 0 {
		return nil, nil, fmt.Errorf("%s: %w", s.path, faults)
	}
	return r, fault, nil
}

// awaitLock waits until the process that has the lock has ended. Meanwhile it reloads the revisions that the other
// process saves, as this process may serve clients already.
func (s *Store) awaitLock(dir string) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(lockRetryInterval):
		}
		lock, err := snapshot.Lock(dir)
		if err != nil {
			s.reloadIfChanged()
			continue
		}
		r, _, err := s.load() // revisions that the other process accepted meanwhile
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed {
			lock.Close()
			return
		}
		s.lock, s.readOnlyReason = lock, ""
		close(s.lockAcquired)
		if err != nil {
			s.readOnlyReason = err.Error()
			return
		}
		s.addNewer(r)
		return
	}
}

// reloadIfChanged adopts the revision that the process with the lock has saved, if it is a newer one.
func (s *Store) reloadIfChanged() {
	info, err := os.Stat(s.path)
	if err != nil || s.lastRead.isSame(info) {
		return
	}
	r, fault, err := s.load()
	if err != nil || fault != nil { // the process with the lock reports it
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.addNewer(r)
	}
}

// addNewer makes a revision the current one if it is newer. s.mu must be held.
func (s *Store) addNewer(r *pb.Revision) {
	if r = s.adjustNumber(r); r.Number > s.last().Number {
		s.add(r)
	}
}

// last returns the current revision. s.mu must be held.
func (s *Store) last() *pb.Revision { return s.revisions[len(s.revisions)-1] }

// add makes a revision the current one and drops the oldest that exceed the limits. s.mu must be held.
func (s *Store) add(r *pb.Revision) {
	if len(s.revisions) > 0 && r.Number != s.last().Number+1 {
		s.revisions, s.olderBytes = nil, 0 // watchers get ErrGap
	}
	if len(s.revisions) > 0 {
		s.olderBytes += proto.Size(s.last())
	}
	s.revisions = append(s.revisions, r)
	drop := 0
	for ; len(s.revisions)-drop > maxKeptRevisions || s.olderBytes > maxKeptBytes; drop++ {
		s.olderBytes -= proto.Size(s.revisions[drop])
	}
	s.revisions = append(s.revisions[:0:0], s.revisions[drop:]...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Current returns the current revision, and the reason why no other can be accepted, or "" if one can. Revision 0 means
// that none was ever accepted.
func (s *Store) Current() (r *pb.Revision, readOnlyReason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last(), s.readOnlyReason
}

// Apply accepts a document if the revision that it was made from is still the current one. The document takes effect
// completely or not at all, and it is saved when Apply returns. Errors are Faults, StaleError, ErrManaged, ErrReadOnly,
// and failures to save, after which the previous revision stays the current one.
func (s *Store) Apply(doc *pb.Settings, from uint64, now time.Time) (*pb.Revision, error) {
	if doc == nil {
		doc = &pb.Settings{}
	}
	if faults := Check(doc); len(faults) > 0 {
		return nil, faults
	}
	s.applying.Lock()
	defer s.applying.Unlock()
	last, readOnlyReason := s.Current()
	switch {
	case s.isManaged():
		return nil, ErrManaged
	case readOnlyReason != "":
		return nil, fmt.Errorf("%w: %s", ErrReadOnly, readOnlyReason)
	case last.Number != from:
		return nil, StaleError{from, last.Number}
	}
	r := &pb.Revision{Number: from + 1, Settings: proto.CloneOf(doc), Taken: timestamppb.New(now)}
	if err := s.save(r); err != nil {
		return nil, err
	}
	return r, nil
}

// save saves a revision and then makes it the current one. s.applying must be held.
func (s *Store) save(r *pb.Revision) error {
	body, err := protojson.Marshal(r)
	if err != nil {
		return err
	}
	if err := snapshot.Write(s.path, snapshotKind, body); err != nil {
		return fmt.Errorf("the revision could not be saved: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(r)
	return nil
}

func (s *Store) isManaged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.managed
}

// ApplyManaged saves a valid revision of the installation's origins and makes it the current one. It returns the time
// at which the revision was made; receiving the current revision again changes nothing. Errors are ErrOlder,
// ErrReadOnly and failures to save.
func (s *Store) ApplyManaged(r *pb.Revision) (since time.Time, err error) {
	s.applying.Lock()
	defer s.applying.Unlock()
	last, readOnlyReason := s.Current()
	switch {
	case readOnlyReason != "":
		return since, fmt.Errorf("%w: %s", ErrReadOnly, readOnlyReason)
	case r.Number < last.Number || r.Number == last.Number && r.Epoch != last.Epoch:
		return since, fmt.Errorf("revision %d: %w, %d", r.Number, ErrOlder, last.Number)
	case r.Number == last.Number:
		return last.Taken.AsTime(), nil
	}
	if err := s.save(r); err != nil {
		return since, err
	}
	return r.Taken.AsTime(), nil
}

// NextAfter returns the revision after a number and waits until there is one. A watcher that passes the number it got
// last sees each revision once and in order, and a slow watcher does not delay others. After 0 it begins with the
// current revision, if one was ever accepted.
func (s *Store) NextAfter(ctx context.Context, number uint64) (*pb.Revision, error) {
	for {
		s.mu.Lock()
		last, first, changed := s.last().Number, s.revisions[0].Number, s.changed
		switch {
		case number > last:
			s.mu.Unlock()
			return nil, fmt.Errorf("revision %d: %w", number, ErrGap)
		case number < last && number+1 >= first:
			r := s.revisions[number+1-first]
			s.mu.Unlock()
			return r, nil
		case number == 0 && last > 0:
			r := s.last()
			s.mu.Unlock()
			return r, nil
		case number < last:
			s.mu.Unlock()
			return nil, fmt.Errorf("revision %d: %w", number, ErrGap)
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.done:
			return nil, ErrClosed
		case <-changed:
		}
	}
}

// ErrClosed is returned to waiting watchers when the store is closed.
var ErrClosed = errors.New("the instance is shutting down")

// Close closes the store and releases the lock of the folder.
func (s *Store) Close() {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed, s.readOnlyReason = true, ErrClosed.Error()
	close(s.done)
	if s.lock != nil {
		s.lock.Close()
	}
}
