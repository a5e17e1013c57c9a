package withdrawn

import (
	"log/slog"
	"path/filepath"
	"sync"
	"time"

	"topazfall/internal/decide/sources"
	"topazfall/internal/snapshot"
)

const (
	snapshotKind  = "withdrawn"            // in the head line of the file
	retryInterval = 100 * time.Millisecond // between attempts to save
	// refreshInterval is how often unchanged withdrawals are saved too, so that their age survives a boot.
	refreshInterval = 10 * time.Minute
)

// Source gives the withdrawals to be saved, and a version that rises with each change of them.
type Source interface {
	Withdrawals() (state sources.Withdrawals, version uint64)
	WithdrawalsVersion() uint64
}

// File saves the withdrawals of a process in its folder, at each change.
type File struct {
	path    string
	source  Source
	changed chan struct{} // asks for a save

	mu      sync.Mutex
	saved   uint64        // the version that was saved or inherited last
	onSaved chan struct{} // closed when a version is saved
}

// NewFile returns the file in a folder. It writes nothing before Run.
func NewFile(folder string, source Source) *File {
	return &File{path: filepath.Join(folder, "withdrawn.snapshot"), source: source, changed: make(chan struct{}, 1),
		onSaved: make(chan struct{})}
}

// Load returns the saved withdrawals. If the file is damaged or foreign, the withdrawals are incomplete, and the error
// names the file. Without a file there are none.
func (f *File) Load() (sources.Withdrawals, error) {
	body, fault, err := snapshot.Read(f.path, snapshotKind)
	if err != nil {
		return sources.Withdrawals{Incomplete: true}, err
	}
	if body == nil {
		return sources.Withdrawals{}, nil
	}
	withdrawals, err := Decode(body, Now())
	if err != nil {
		return sources.Withdrawals{Incomplete: true}, &FormError{f.path, err}
	}
	// An earlier version lacks what was withdrawn last.
	withdrawals.Incomplete = withdrawals.Incomplete || fault != nil
	return withdrawals, fault
}

// FormError means that a file is not damaged, but does not have the form of withdrawals.
type FormError struct {
	Path string
	Err  error
}

func (e *FormError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the fault in the file's content.
func (e *FormError) Unwrap() error { return e.Err }

// SetInherited declares that what the source has now is saved, or is kept by the process that it came from.
func (f *File) SetInherited() { f.setSaved(f.source.WithdrawalsVersion()) }

// Run saves each change until stop is closed. Only the process that owns the folder may run it. The first save is due
// at once: an earlier process may have saved less.
func (f *File) Run(stop <-chan struct{}) {
	savedAt, failing := time.Time{}, false
	for {
		err := error(nil)
		isDue := f.source.WithdrawalsVersion() != f.savedVersion() || time.Since(savedAt) > refreshInterval
		if isDue {
			err = f.Save()
		}
		if isDue && err == nil {
			savedAt = time.Now()
		}
		f.logState(err, failing)
		failing = err != nil
		pause := refreshInterval
		if failing {
			pause = retryInterval
		}
		select {
		case <-stop:
			return
		case <-f.changed:
		case <-time.After(pause):
		}
	}
}

// logState logs when saves begin to fail and when they succeed again.
func (f *File) logState(err error, failing bool) {
	switch {
	case err != nil && !failing:
		slog.Error("withdrawn", "state", "unsaved", "path", f.path, "error", err)
	case err == nil && failing:
		slog.Info("withdrawn", "state", "saved", "path", f.path)
	}
}

// Save saves the withdrawals as they are now. It must not run beside Run.
func (f *File) Save() error {
	state, version := f.source.Withdrawals()
	if len(state.Hosts) == 0 && !state.Incomplete && f.savedVersion() == 0 && version == 0 {
		return nil // nothing was ever withdrawn here
	}
	body, err := Encode(state, Now())
	if err != nil {
		return err
	}
	if err := snapshot.Write(f.path, snapshotKind, body); err != nil {
		return err
	}
	f.setSaved(version)
	return nil
}

func (f *File) savedVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.saved
}

func (f *File) setSaved(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved = version
	close(f.onSaved)
	f.onSaved = make(chan struct{})
}

// AwaitSaved waits until all changes are saved, for a limited time, and reports whether they are.
func (f *File) AwaitSaved(limit time.Duration) bool {
	version := f.source.WithdrawalsVersion()
	var expired <-chan time.Time
	for {
		f.mu.Lock()
		saved, onSaved := f.saved, f.onSaved
		f.mu.Unlock()
		if saved >= version {
			return true
		}
		select {
		case f.changed <- struct{}{}:
		default:
		}
		if expired == nil {
			expired = time.After(limit)
		}
		select {
		case <-onSaved:
		case <-expired:
			return false
		}
	}
}
