package config

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
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
	PeerListen, PeersAll    string   // where dispatchers tell each other of hosts; empty where they may not
	Peers                   []string // of each dispatcher by its number
	KnownHosts              []byte   // the list of hosts as last had, in discovery's form; may be empty
	Settings                topazfall.Settings
	ConnIdle                time.Duration // a host closes a connection once it has been idle for so long
	HoldOnRefusal           bool          // a refusal of discovery shows that it could be reached; see package refresh

	keys any // the file as it came, for those of the next one
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

// Reload reads the file again, which may be used in c's place if there is no error. Its address of discovery wins now:
// the environment is that of the start, and cannot have followed a move.
//
// A file that lacks a key of the one before is more likely a broken one than a wish for a default: the error names the
// key. That it cannot be decided by what the program needs is why the file in force is the measure.
func (c *Config) Reload(env func(string) string) (Config, error) {
	next, err := Load(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return env(name)
	})
	if err == nil {
		err = lacks(c.keys, next.keys, "")
	}
	if err == nil {
		err = next.Settings.Check()
	}
	return next, err
}

// lacks names a key of was that is missing in is, or is of another kind there. In a list each entry must have the keys
// that all the entries had.
func lacks(was, is any, path string) error {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", path)
		}
		for key, v := range was {
			if key == "known" && path == "" { // the list of hosts is no setting
				continue
			}
			if is[key] == nil {
				return fmt.Errorf("%s is missing", strings.TrimPrefix(path+"."+key, "."))
			}
			if err := lacks(v, is[key], strings.TrimPrefix(path+"."+key, ".")); err != nil {
				return err
			}
		}
	case []any:
		is, ok := is.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", path)
		}
		for i, v := range is {
			if len(was) > 0 {
				if err := lacks(common(was), v, fmt.Sprintf("%s[%d]", path, i)); err != nil {
					return err
				}
			}
		}
	default:
		if fmt.Sprintf("%T", was) != fmt.Sprintf("%T", is) {
			return fmt.Errorf("%s is %v, of another kind than %v", path, is, was)
		}
	}
	return nil
}

// common is an entry of a list with no more than the keys that all its entries have.
func common(list []any) any {
	first, ok := list[0].(map[string]any)
	if !ok {
		return list[0]
	}
	first = maps.Clone(first)
	for _, v := range list[1:] {
		other, _ := v.(map[string]any)
		maps.DeleteFunc(first, func(key string, _ any) bool { return other[key] == nil })
	}
	return first
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
	var others struct { // apart: of more than ten fields the decoder's errors say less
		Listen string   `json:"peer_listen"`
		Peers  []string `json:"peers"`
		All    string   `json:"peers_all"`

		HoldOnRefusal bool `json:"hold_on_refusal"`
	}
	if err := jsoniter.Unmarshal(text, &others); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil && f.Seed != "" {
		return Config{}, fmt.Errorf("seed %q is no hexadecimal number", f.Seed)
	}
	c := Config{Name: first(env("LB_NAME"), f.Name), Listen: first(env("LB_LISTEN"), f.Listen),
		Discovery: first(env("LB_DISCOVERY"), f.Discovery), Management: first(env("LB_MANAGEMENT"), f.Manage),
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		PeerListen: others.Listen, Peers: others.Peers, PeersAll: others.All, HoldOnRefusal: others.HoldOnRefusal,
		Sockets: f.Limits.Sockets, KnownHosts: f.Known,
		ConnIdle: time.Duration(f.Settings.Allowed.ConnIdle) * time.Microsecond}
	if c.Listen == "" || c.Discovery == "" {
		return Config{}, errors.New("listen and discovery must be given")
	}
	if c.Settings, err = f.Settings.Settings(seed); err != nil {
		return Config{}, err
	}
	if err := jsoniter.Unmarshal(text, &c.keys); err != nil {
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
