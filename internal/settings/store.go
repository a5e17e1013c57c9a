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
	kind = "settings"
	kept = 1024                   // revisions that watchers may still ask for, within keptBytes
	wait = 200 * time.Millisecond // between tries for a folder that another process has
)

// keptBytes bounds what the revisions before the one in force have when they are encoded; in memory it is some times
// that.
const keptBytes = 2 << 20

// Store has the revision in force and those before it. What Apply has taken is saved, and is all that a restart needs.
// Only one process at a time takes revisions of a folder: one that is about to replace another reads what that has
// saved, and takes over when it has gone.
type Store struct {
	path string
	done chan struct{}

	applying sync.Mutex // held while one is saved
	mu       sync.Mutex
	log      []*pb.Revision // the last is in force
	logBytes int            // of all but the last
	news     chan struct{}  // closed when there is another
	readOnly string         // why nothing can be taken
	lock     io.Closer
	closed   bool
	managed  bool          // revisions are made by the installation's origins, and come by Take
	owned    chan struct{} // closed when this process has the folder
	read     fileState     // of the snapshot that was read last
}

// fileState tells whether a file is the one that was read before.
type fileState struct {
	info os.FileInfo // nil for none
}

func (f fileState) same(o os.FileInfo) bool {
	return f.info != nil && o != nil && os.SameFile(f.info, o) && f.info.ModTime().Equal(o.ModTime()) &&
		f.info.Size() == o.Size()
}

// StaleError turns a document down that was made from another revision than the one in force.
type StaleError struct{ From, InForce uint64 }

func (e StaleError) Error() string {
	return fmt.Sprintf("it was made from revision %d, and %d is in force", e.From, e.InForce)
}

// ErrManaged turns a document down where revisions are made by the installation's origins.
var ErrManaged = errors.New("revisions are made by the installation's origins")

// ErrOlder turns a revision down that is older than the one in force.
var ErrOlder = errors.New("it is older than the revision in force")

// ErrReadOnly is wrapped by what says why no revision can be taken now.
var ErrReadOnly = errors.New("no revision can be taken")

// ErrGap says that revisions after the one named are not kept any more, or were never there.
var ErrGap = errors.New("the revisions after it are not kept")

// Open reads what is saved in a folder, which is made if need be. The second result is what was wrong with it though it
// could be read: that the last revision is broken and the one before is used.
func Open(dir string) (s *Store, fault, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	s = &Store{path: filepath.Join(dir, "settings.snapshot"), done: make(chan struct{}), news: make(chan struct{}),
		owned: make(chan struct{})}
	s.lock, err = snapshot.Lock(dir)
	if err != nil {
		s.readOnly = err.Error()
	}
	r, fault, err := s.load()
	if err != nil {
		if s.lock != nil {
			s.lock.Close()
		}
		return nil, nil, err
	}
	s.log = []*pb.Revision{r}
	if s.lock == nil {
		go s.takeOver(dir)
	} else {
		close(s.owned)
	}
	return s, fault, nil
}

// SetManaged says that revisions are made by the installation's origins and come by Take. What was taken at this instance
// alone stays in force as revision 0 until the first of theirs comes.
func (s *Store) SetManaged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.managed = true
	s.log, s.logBytes = []*pb.Revision{s.adopt(s.last())}, 0
}

// adopt returns a revision as it counts here; s.mu is held.
func (s *Store) adopt(r *pb.Revision) *pb.Revision {
	if s.managed && r.Epoch == "" && r.Number != 0 {
		r = proto.CloneOf(r)
		r.Number = 0
	}
	return r
}

// LockAcquired is closed when this process has the folder, and no other.
func (s *Store) LockAcquired() <-chan struct{} { return s.owned }

func (s *Store) load() (r *pb.Revision, fault, err error) {
	r = &pb.Revision{Settings: &pb.Settings{}}
	if info, err := os.Stat(s.path); err == nil {
		s.read = fileState{info}
	}
	body, fault, err := snapshot.Read(s.path, kind)
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

// takeOver waits for the process that has the folder to go, and brings into force meanwhile what that takes: clients
// may be served by this one already.
func (s *Store) takeOver(dir string) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(wait):
		}
		lock, err := snapshot.Lock(dir)
		if err != nil {
			s.follow()
			continue
		}
		r, _, err := s.load() // what that one has taken meanwhile
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed {
			lock.Close()
			return
		}
		s.lock, s.readOnly = lock, ""
		close(s.owned)
		if err != nil {
			s.readOnly = err.Error()
			return
		}
		s.addNewer(r)
		return
	}
}

// follow brings into force what the process that has the folder has saved.
func (s *Store) follow() {
	info, err := os.Stat(s.path)
	if err != nil || s.read.same(info) {
		return
	}
	r, fault, err := s.load()
	if err != nil || fault != nil { // that process will say it
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.addNewer(r)
	}
}

// addNewer makes a revision the one in force if it is newer; s.mu is held.
func (s *Store) addNewer(r *pb.Revision) {
	if r = s.adopt(r); r.Number > s.last().Number {
		s.add(r)
	}
}

func (s *Store) last() *pb.Revision { return s.log[len(s.log)-1] }

// add makes a revision the one in force; s.mu is held.
func (s *Store) add(r *pb.Revision) {
	if len(s.log) > 0 && r.Number != s.last().Number+1 {
		s.log, s.logBytes = nil, 0 // a watcher is told of the gap
	}
	if len(s.log) > 0 {
		s.logBytes += proto.Size(s.last())
	}
	s.log = append(s.log, r)
	drop := 0
	for ; len(s.log)-drop > kept || s.logBytes > keptBytes; drop++ {
		s.logBytes -= proto.Size(s.log[drop])
	}
	s.log = append(s.log[:0:0], s.log[drop:]...)
	close(s.news)
	s.news = make(chan struct{})
}

// Current returns the revision in force, and why no other can be taken, if so. Revision 0 is that nothing was ever taken.
func (s *Store) Current() (r *pb.Revision, readOnly string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last(), s.readOnly
}

// Apply takes a document that was made from a revision, if that is still in force: whole or not at all. When it
// returns, the document is saved. Its errors are Faults, StaleError, ErrReadOnly, or that of saving, after which the
// document before is in force still.
func (s *Store) Apply(doc *pb.Settings, from uint64, now time.Time) (*pb.Revision, error) {
	if doc == nil {
		doc = &pb.Settings{}
	}
	if faults := Check(doc); len(faults) > 0 {
		return nil, faults
	}
	s.applying.Lock()
	defer s.applying.Unlock()
	last, readOnly := s.Current()
	switch {
	case s.isManaged():
		return nil, ErrManaged
	case readOnly != "":
		return nil, fmt.Errorf("%w: %s", ErrReadOnly, readOnly)
	case last.Number != from:
		return nil, StaleError{from, last.Number}
	}
	r := &pb.Revision{Number: from + 1, Settings: proto.CloneOf(doc), Taken: timestamppb.New(now)}
	if err := s.save(r); err != nil {
		return nil, err
	}
	return r, nil
}

// save makes a revision the one in force once it is saved; s.applying is held.
func (s *Store) save(r *pb.Revision) error {
	body, err := protojson.Marshal(r)
	if err != nil {
		return err
	}
	if err := snapshot.Write(s.path, kind, body); err != nil {
		return fmt.Errorf("it could not be saved: %w", err)
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

// ApplyManaged brings a sound revision of the installation's origins into force, once it is saved, and returns since when it
// is: one that is in force already is left as it is. Its errors are ErrOlder, ErrReadOnly, or that of saving.
func (s *Store) ApplyManaged(r *pb.Revision) (since time.Time, err error) {
	s.applying.Lock()
	defer s.applying.Unlock()
	last, readOnly := s.Current()
	switch {
	case readOnly != "":
		return since, fmt.Errorf("%w: %s", ErrReadOnly, readOnly)
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

// NextAfter returns the revision that follows the one of that number, and waits for it if need be. So a watcher sees each
// once and in order, and a slow one holds nobody up. After 0 it begins with the one in force, if there ever was one.
func (s *Store) NextAfter(ctx context.Context, number uint64) (*pb.Revision, error) {
	for {
		s.mu.Lock()
		last, first, news := s.last().Number, s.log[0].Number, s.news
		switch {
		case number > last:
			s.mu.Unlock()
			return nil, fmt.Errorf("revision %d: %w", number, ErrGap)
		case number < last && number+1 >= first:
			r := s.log[number+1-first]
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
		case <-news:
		}
	}
}

// ErrClosed ends what waits when the store is closed.
var ErrClosed = errors.New("the instance ends")

// Close lets another process have the folder.
func (s *Store) Close() {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed, s.readOnly = true, ErrClosed.Error()
	close(s.done)
	if s.lock != nil {
		s.lock.Close()
	}
}
