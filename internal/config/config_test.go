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

// After a reload the address of discovery is that of the file, although the environment still names the one of the
// start. Other overrides of the environment stay.
func TestReload(t *testing.T) {
	environment := env(map[string]string{"LB_CONFIG": "../../example/config.json", "LB_DISCOVERY": "127.0.0.1:9",
		"LB_NAME": "n7"})
	c, err := Load(environment)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", c.Discovery)
	c, err = c.Reload(environment)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8500", c.Discovery)
	require.Equal(t, "n7", c.Name)
}

func TestLoadErrors(t *testing.T) {
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

// A file that is invalid in any part is rejected with an error that names the fault; valid changes are accepted.
func TestReloadChecksTheWholeFile(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	environment := env(map[string]string{"LB_CONFIG": path})
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(string(text))
	c, err := Load(environment)
	require.NoError(t, err)
	replaced := func(old, now string) string {
		require.Contains(t, string(text), old)
		return strings.Replace(string(text), old, now, 1)
	}
	for file, want := range map[string]string{
		"":                                      "",
		string(text[:len(text)/2]):              "",
		string(text) + "x":                      "",
		"null":                                  "listen",
		replaced(`"settings"`, `"Settings2"`):   "settings is missing",
		replaced(`"send_cap": 6`, `"other": 6`): "settings.allowed.send_cap is missing",
		replaced(`"send_cap": 6`, `"send_cap": 0`):                "Attempts",
		replaced(`"send_cap": 6`, `"send_cap": "6"`):              "",
		replaced(`"send_cap": 6`, `"send_cap": null`):             "settings.allowed.send_cap is missing",
		replaced(`"send_cap": 6`, `"send_cap": 1.5`):              "",
		replaced(`"deadline_us": 25000000`, `"deadline_us": -5`):  "deadline",
		replaced(`"deadline_us": 25000000`, `"deadline_us": 0`):   "deadline",
		replaced(`"deadline_us": 25000000, `, ``):                 "settings.classes[1].deadline_us is missing",
		replaced(`"drain_grace_us": 500000, `, ``):                "settings.contract.drain_grace_us is missing",
		replaced(`"cancel": true`, `"cancel": 1`):                 "",
		replaced(`"memory_mb": 192`, `"memory": 192`):             "limits.memory_mb is missing",
		replaced(`"name": "dispute-extract"`, `"name": "lookup"`): "lookup",
		replaced(`"areas": ["hall-a"]`, `"areas": "hall-a"`):      "",
		replaced(`"repeat": "fragile"`, `"repeat": "sometimes"`):  "sometimes",

		replaced(`"drain_grace_us": 500000`, `"drain_grace_us": -250000`): "Contract.DrainGrace is -250000",
		replaced(`"over_share_worth": 0`, `"over_share_worth": 7`):        "OverShare is 7.05",
		replaced(`"fields": [`, `"fields": ["moon",`):                     `stats.fields[0] is "moon"`,
		replaced(`"weight_kind": "live"`, `"weight_kind": "lively"`):      `weight_kind is "lively"`,
		replaced(`"quota_per_s": `, `"quota_per_s": -`):                   "quota is -",
		replaced(`"cold_from": `, `"cold_from": 2`):                       "Contract.ColdFrom is 2",
	} {
		write(file)
		_, err := c.Reload(environment)
		require.ErrorContains(t, err, want, file)
	}
	for _, file := range []string{string(text), replaced(`"send_cap": 6`, `"send_cap": 2, "new": 1`),
		replaced(`"known"`, `"was"`),
		replaced(`"classes": [`, `"classes": [{"name": "r2", "aim_us": 1, "deadline_us": 2, "points": 1, `+
			`"late_worth": 0, "repeat": "fragile"},`)} {
		write(file)
		_, err := c.Reload(environment)
		require.NoError(t, err)
	}
}
