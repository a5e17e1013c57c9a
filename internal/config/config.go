package config

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
)

// Config is what one dispatcher is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Management              string // the second address; empty for none
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   []byte // the list of hosts as last had, in discovery's form; may be empty
	Settings                topazfall.Settings
	ConnIdle                time.Duration // a host closes a connection once it has been idle for so long
}

// Load reads the file that LB_CONFIG names. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT overrule what it says.
func Load(env func(string) string) (Config, error) {
	path := env("LB_CONFIG")
	if path == "" {
		return Config{}, errors.New("LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	c, err := parse(text, env)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again. Its address of discovery wins now: the environment is that of the start, and
// cannot have followed a move.
func Reload(env func(string) string) (Config, error) {
	return Load(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

func parse(text []byte, env func(string) string) (Config, error) {
	var f struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Manage    string `json:"management"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    jsoniter.RawMessage `json:"known"`
		Settings Profile             `json:"settings"`
	}
	if err := jsoniter.Unmarshal(text, &f); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil && f.Seed != "" {
		return Config{}, fmt.Errorf("seed %q is no hexadecimal number", f.Seed)
	}
	c := Config{Name: first(env("LB_NAME"), f.Name), Listen: first(env("LB_LISTEN"), f.Listen),
		Discovery: first(env("LB_DISCOVERY"), f.Discovery), Management: first(env("LB_MANAGEMENT"), f.Manage), Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		Sockets: f.Limits.Sockets, Known: f.Known, ConnIdle: time.Duration(f.Settings.Allowed.ConnIdle) * time.Microsecond}
	if c.Listen == "" || c.Discovery == "" {
		return Config{}, errors.New("listen and discovery must be given")
	}
	if c.Settings, err = f.Settings.Settings(seed); err != nil {
		return Config{}, err
	}
	if c.Sockets <= 0 {
		c.Sockets = 1024
	}
	if c.ConnIdle <= 0 {
		c.ConnIdle = time.Minute
	}
	return c, nil
}

func first(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
