package config

import (
	"os"
	"path/filepath"
	"strings"
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
	require.Contains(t, string(c.KnownHosts), `"hosts"`)
}

// The environment still names the discovery of the start when the file has been replaced.
func TestReload(t *testing.T) {
	told := env(map[string]string{"LB_CONFIG": "../../example/config.json", "LB_DISCOVERY": "127.0.0.1:9",
		"LB_NAME": "n7"})
	c, err := Load(told)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", c.Discovery)
	c, err = c.Reload(told)
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

// A file is taken whole or not at all, and the error names what is wrong with it.
func TestReloadChecksTheWholeFile(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	told := env(map[string]string{"LB_CONFIG": path})
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(string(text))
	c, err := Load(told)
	require.NoError(t, err)
	with := func(old, now string) string {
		require.Contains(t, string(text), old)
		return strings.Replace(string(text), old, now, 1)
	}
	for file, want := range map[string]string{
		"":                                                    "",
		string(text[:len(text)/2]):                            "",
		string(text) + "x":                                    "",
		"null":                                                "listen",
		with(`"settings"`, `"Settings2"`):                     "settings is missing",
		with(`"send_cap": 6`, `"other": 6`):                   "settings.allowed.send_cap is missing",
		with(`"send_cap": 6`, `"send_cap": 0`):                "Attempts",
		with(`"send_cap": 6`, `"send_cap": "6"`):              "",
		with(`"send_cap": 6`, `"send_cap": null`):             "settings.allowed.send_cap is missing",
		with(`"send_cap": 6`, `"send_cap": 1.5`):              "",
		with(`"deadline_us": 25000000`, `"deadline_us": -5`):  "deadline",
		with(`"deadline_us": 25000000`, `"deadline_us": 0`):   "deadline",
		with(`"deadline_us": 25000000, `, ``):                 "settings.classes[1].deadline_us is missing",
		with(`"drain_grace_us": 500000, `, ``):                "settings.contract.drain_grace_us is missing",
		with(`"cancel": true`, `"cancel": 1`):                 "",
		with(`"memory_mb": 192`, `"memory": 192`):             "limits.memory_mb is missing",
		with(`"name": "dispute-extract"`, `"name": "lookup"`): "lookup",
		with(`"areas": ["hall-a"]`, `"areas": "hall-a"`):      "",
		with(`"repeat": "fragile"`, `"repeat": "sometimes"`):  "sometimes",

		with(`"drain_grace_us": 500000`, `"drain_grace_us": -250000`): "Contract.DrainGrace is -250000",
		with(`"over_share_worth": 0`, `"over_share_worth": 7`):        "OverShare is 7.05",
		with(`"fields": [`, `"fields": ["moon",`):                     `stats.fields[0] is "moon"`,
		with(`"weight_kind": "live"`, `"weight_kind": "lively"`):      `weight_kind is "lively"`,
		with(`"quota_per_s": `, `"quota_per_s": -`):                   "quota is -",
		with(`"cold_from": `, `"cold_from": 2`):                       "Contract.ColdFrom is 2",
	} {
		write(file)
		_, err := c.Reload(told)
		require.ErrorContains(t, err, want, file)
	}
	for _, file := range []string{string(text), with(`"send_cap": 6`, `"send_cap": 2, "new": 1`),
		with(`"known"`, `"was"`),
		with(`"classes": [`, `"classes": [{"name": "r2", "aim_us": 1, "deadline_us": 2, "points": 1, `+
			`"late_worth": 0, "repeat": "fragile"},`)} {
		write(file)
		_, err := c.Reload(told)
		require.NoError(t, err)
	}
}
