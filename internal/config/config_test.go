package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func env(values map[string]string) func(string) string {
	return func(name string) string { return values[name] }
}

func TestLoad(t *testing.T) {
	c, err := Load(env(map[string]string{"LB_CONFIG": "../../example/config.json", "LB_LISTEN": "127.0.0.1:7"}))
	require.NoError(t, err)
	require.Equal(t, "n0", c.Name)
	require.Equal(t, "127.0.0.1:7", c.Listen, "the environment overrules the file")
	require.Equal(t, "127.0.0.1:8500", c.Discovery)
	require.Equal(t, uint64(0x8c1f30d27a5be964), c.Settings.Seed)
	require.Equal(t, time.Minute, c.ConnIdle)
	require.Equal(t, 1024, c.Sockets)
	require.Equal(t, int64(2e6), c.Settings.Allowed.MaxRetryAfter)
	require.Contains(t, string(c.Known), `"hosts"`)
}

// The environment still names the discovery of the start when the file has been replaced.
func TestReload(t *testing.T) {
	told := env(map[string]string{"LB_CONFIG": "../../example/config.json", "LB_DISCOVERY": "127.0.0.1:9", "LB_NAME": "n7"})
	c, err := Load(told)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", c.Discovery)
	c, err = Reload(told)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8500", c.Discovery)
	require.Equal(t, "n7", c.Name)
}

func TestLoadSaysWhatIsWrong(t *testing.T) {
	for text, want := range map[string]string{
		`{"listen":"x"`:  "object",
		`{"listen":"x"}`: "discovery",
		`{"listen":"x","discovery":"y","seed":"g"}`:                                  "seed",
		`{"listen":"x","discovery":"y","settings":{"classes":[{"repeat":"often"}]}}`: "often",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(env(map[string]string{"LB_CONFIG": path}))
		require.ErrorContains(t, err, want)
	}
	_, err := Load(env(nil))
	require.ErrorContains(t, err, "LB_CONFIG")
}
