// Package snapshot stores a document in a file so that it is complete after a crash at any moment. The document is
// written to a temporary file with a checksum, synced and renamed, and the previous version is kept beside it.
package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// MaxBytes is the maximum size of a document.
const MaxBytes = 16 << 20

// FormatVersion is the version of the file format. Files of a newer version are rejected.
const FormatVersion = 1

const previousSuffix = ".before" // of the previous version's file

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Write stores body as the document at path. When it returns nil, the document survives a crash. On an error the
// previous document stays.
func Write(path, kind string, body []byte) error {
	if len(body) > MaxBytes {
		return fmt.Errorf("%s: %d bytes exceed the maximum of %d", path, len(body), MaxBytes)
	}
	if err := keepPrevious(path); err != nil {
		return err
	}
	head := fmt.Sprintf("topazfall %s %d %08x %d\n",
		kind, FormatVersion, crc32.Checksum(body, checksumTable), len(body))
	if err := renameio.WriteFile(path, append([]byte(head), body...), 0o600,
		renameio.WithTempDir(filepath.Dir(path))); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// keepPrevious links the current document as the previous one. A damaged document must not replace the previous one.
func keepPrevious(path string) error {
	if _, err := readFile(path, ""); err != nil {
		return nil
	}
	temporary := path + previousSuffix + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.Link(path, temporary); err != nil {
		return err
	}
	return os.Rename(temporary, path+previousSuffix)
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Read returns the document at path, or the previous version if that cannot be read. In the latter case fault says why,
// and the caller must log it as an error. If neither file exists the document is nil.
func Read(path, kind string) (body []byte, fault, err error) {
	body, err = readFile(path, kind)
	if err == nil {
		return body, nil, nil
	}
	previous, previousErr := readFile(path+previousSuffix, kind)
	switch {
	case previousErr == nil:
		return previous, fmt.Errorf("%s: %w; the previous version is used", path, err), nil
	case errors.Is(err, fs.ErrNotExist) && errors.Is(previousErr, fs.ErrNotExist):
		return nil, nil, nil
	}
	return nil, nil, fmt.Errorf("%s: %w; the previous version: %w", path, err, previousErr)
}

func readFile(path, kind string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1024))
	if err != nil {
		return nil, err
	}
	return Parse(text, kind)
}

// Parse checks the bytes of a file and returns its document. An empty kind accepts any.
func Parse(text []byte, kind string) ([]byte, error) {
	head, body, ok := bytes.Cut(text, []byte{'\n'})
	if !ok || len(head) > 256 {
		return nil, errors.New("it has no header line")
	}
	var name string
	var version, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), "topazfall %s %d %x %d", &name, &version, &sum, &length); err != nil ||
		n != 4 {
		return nil, fmt.Errorf("its header line %q is invalid", head)
	}
	switch {
	case kind != "" && name != kind:
		return nil, fmt.Errorf("its kind is %q, not %q", name, kind)
	case version > FormatVersion:
		return nil, fmt.Errorf("its version is %d, but the newest supported version is %d", version, FormatVersion)
	case length != len(body):
		return nil, fmt.Errorf("its length is %d bytes, not %d", len(body), length)
	case crc32.Checksum(body, checksumTable) != sum:
		return nil, fmt.Errorf("its checksum is %08x, not %08x", crc32.Checksum(body, checksumTable), sum)
	}
	return body, nil
}

// Lock locks a folder against other processes until the result is closed. If another process has the lock it fails at
// once.
func Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s is in use by another process: %w", dir, err)
	}
	return f, nil
}
