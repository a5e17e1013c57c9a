package snapshot

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// A file that is truncated or changed anywhere is never read as a different document: the previous version is used and
// the fault is reported.
func TestDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	body, fault, err := Read(path, "test")
	require.NoError(t, err)
	require.NoError(t, fault)
	require.Nil(t, body)
	require.NoError(t, Write(path, "test", []byte("first")))
	require.NoError(t, Write(path, "test", []byte("second")))
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for n := range whole {
		for _, broken := range [][]byte{whole[:n],
			append(append(append([]byte{}, whole[:n]...), whole[n]^1), whole[n+1:]...)} {
			require.NoError(t, os.WriteFile(path, broken, 0o600))
			body, fault, err := Read(path, "test")
			require.NoError(t, err, "%q", broken)
			if fault == nil {
				require.Equal(t, "second", string(body), "%q", broken)
				continue
			}
			require.Equal(t, "first", string(body))
		}
	}
	require.NoError(t, Write(path, "test", []byte("third")), "over a damaged one")
	require.NoError(t, os.Remove(path))
	body, fault, err = Read(path, "test")
	require.NoError(t, err)
	require.Error(t, fault)
	require.Equal(t, "first", string(body), "the damaged one has not replaced the previous one")
	require.NoError(t, os.WriteFile(path+previousSuffix, []byte("x"), 0o600))
	_, _, err = Read(path, "test")
	require.Error(t, err, "neither can be read")
}

func TestVersionAndKind(t *testing.T) {
	_, err := Parse([]byte("topazfall test 2 00000000 0\n"), "test")
	require.ErrorContains(t, err, "version is 2")
	_, err = Parse([]byte("topazfall other 1 00000000 0\n"), "test")
	require.ErrorContains(t, err, `"other"`)
	_, err = Parse([]byte("topazfall test 1 00000000 0\n"), "test")
	require.NoError(t, err)
}

func TestLock(t *testing.T) {
	dir := t.TempDir()
	l, err := Lock(dir)
	require.NoError(t, err)
	_, err = Lock(dir)
	require.ErrorContains(t, err, "in use")
	require.NoError(t, l.Close())
	l, err = Lock(dir)
	require.NoError(t, err)
	l.Close()
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"topazfall test 1 00000000 0\n", "topazfall test 1 5a8b7c6d 3\nabc", "topazfall  1",
		"\n", ""} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if body, err := Parse(text, "test"); err == nil && len(body) >= len(text) {
			t.Fatal("the document is not shorter than its file")
		}
	})
}
