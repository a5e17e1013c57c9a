// Package snapshot keeps a document in a file so that it is there whole after a crash at any moment: written aside,
// synced, renamed, with a checksum, and the one before kept beside it.
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

// Most is the most bytes of a document.
const Most = 16 << 20

// Version is that of the form. A file of a newer one is not read.
const Version = 1

const before = ".before"

var table = crc32.MakeTable(crc32.Castagnoli)

// Write makes body the document at path. When it returns nil the document outlives a crash; else the one before stands.
func Write(path, kind string, body []byte) error {
	if len(body) > Most {
		return fmt.Errorf("%s: %d bytes are more than %d", path, len(body), Most)
	}
	if err := keep(path); err != nil {
		return err
	}
	head := fmt.Sprintf("topazfall %s %d %08x %d\n", kind, Version, crc32.Checksum(body, table), len(body))
	if err := renameio.WriteFile(path, append([]byte(head), body...), 0o600,
		renameio.WithTempDir(filepath.Dir(path))); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// keep makes the present document the one before. A broken one must not take its place.
func keep(path string) error {
	if _, err := read(path, ""); err != nil {
		return nil
	}
	aside := path + before + ".new"
	if err := os.Remove(aside); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.Link(path, aside); err != nil {
		return err
	}
	return os.Rename(aside, path+before)
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Read returns the document at path, or the one before if that cannot be read: fault then says why, and is to be said
// loudly. With neither there the document is nil.
func Read(path, kind string) (body []byte, fault, err error) {
	body, err = read(path, kind)
	if err == nil {
		return body, nil, nil
	}
	older, olderErr := read(path+before, kind)
	switch {
	case olderErr == nil:
		return older, fmt.Errorf("%s: %w; the one before is used", path, err), nil
	case errors.Is(err, fs.ErrNotExist) && errors.Is(olderErr, fs.ErrNotExist):
		return nil, nil, nil
	}
	return nil, nil, fmt.Errorf("%s: %w; the one before: %w", path, err, olderErr)
}

func read(path, kind string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, Most+1024))
	if err != nil {
		return nil, err
	}
	return Parse(text, kind)
}

// Parse checks the bytes of a file and returns its document; kind "" is for any.
func Parse(text []byte, kind string) ([]byte, error) {
	head, body, ok := bytes.Cut(text, []byte{'\n'})
	if !ok || len(head) > 256 {
		return nil, errors.New("it has no first line")
	}
	var name string
	var version, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), "topazfall %s %d %x %d", &name, &version, &sum, &length); err != nil ||
		n != 4 {
		return nil, fmt.Errorf("its first line is %q", head)
	}
	switch {
	case kind != "" && name != kind:
		return nil, fmt.Errorf("it holds %q, not %q", name, kind)
	case version > Version:
		return nil, fmt.Errorf("its version is %d, and the newest known %d", version, Version)
	case length != len(body):
		return nil, fmt.Errorf("it has %d bytes of %d", len(body), length)
	case crc32.Checksum(body, table) != sum:
		return nil, fmt.Errorf("its checksum is %08x, not %08x", crc32.Checksum(body, table), sum)
	}
	return body, nil
}

// Lock keeps other processes from a folder until it is closed. It does not wait.
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
