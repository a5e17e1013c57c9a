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

// Config is the configuration of one dispatcher.
type Config struct {
	Name, Listen, Discovery string
	Management              string // listen address of the management endpoint; empty for none
	Cores                   float64
	MemoryMB, Sockets       int
	PeerListen, PeersAll    string   // addresses of gossip messages between dispatchers; empty if they are not allowed
	Peers                   []string // gossip address of each dispatcher, by its number
	KnownHosts              []byte   // last known list of workers (hosts), in the format of discovery; may be empty
	Settings                topazfall.Settings
	ConnIdle                time.Duration // idle time after which a worker closes a connection
	HoldOnRefusal           bool          // refusals show that discovery could be reached; see package refresh

	keys any // the decoded file; a reloaded file must have all its keys
}

// Load reads the file that LB_CONFIG names. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT override its values.
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

// Reload reads the file again and returns the configuration to use in place of c. LB_DISCOVERY is ignored, as the
// environment is that of the start of the process: it would undo a later move of discovery.
//
// A file without a key of the previous file is an error that names the key: the file is more likely broken than meant
// to select a default. The previous file decides which keys are required because the program itself needs only a few.
func (c *Config) Reload(env func(string) string) (Config, error) {
	next, err := Load(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return env(name)
	})
	if err == nil {
		err = checkKeys(c.keys, next.keys, "")
	}
	if err == nil {
		err = next.Settings.Check()
	}
	return next, err
}

// checkKeys returns an error if a key of previous is missing in next or its value there is of another type. In a list,
// each entry must have the keys that all previous entries have.
func checkKeys(previous, next any, path string) error {
	switch previous := previous.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is not an object", path)
		}
		for key, v := range previous {
			if key == "known" && path == "" { // the list of workers is not a setting
				continue
			}
			if next[key] == nil {
				return fmt.Errorf("%s is missing", strings.TrimPrefix(path+"."+key, "."))
			}
			if err := checkKeys(v, next[key], strings.TrimPrefix(path+"."+key, ".")); err != nil {
				return err
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return fmt.Errorf("%s is not a list", path)
		}
		for i, v := range next {
			if len(previous) > 0 {
				if err := checkKeys(commonKeys(previous), v, fmt.Sprintf("%s[%d]", path, i)); err != nil {
					return err
				}
			}
		}
	default:
		if fmt.Sprintf("%T", previous) != fmt.Sprintf("%T", next) {
			return fmt.Errorf("%s is %v, which is not of the type of %v", path, next, previous)
		}
	}
	return nil
}

// commonKeys returns the first entry of a list without the keys that another entry lacks.
func commonKeys(list []any) any {
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

// parse parses the text of a configuration file and applies the overrides of the environment.
func parse(text []byte, env func(string) string) (Config, error) {
	var file struct {
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
		Settings SettingsObject      `json:"settings"`
	}
	if err := jsoniter.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	var peers struct { // separate, as the decoder's errors say less for a struct of more than ten fields
		Listen string   `json:"peer_listen"`
		Peers  []string `json:"peers"`
		All    string   `json:"peers_all"`

		HoldOnRefusal bool `json:"hold_on_refusal"`
	}
	if err := jsoniter.Unmarshal(text, &peers); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil && file.Seed != "" {
		return Config{}, fmt.Errorf("seed %q is not a hexadecimal number", file.Seed)
	}
	c := Config{Name: firstNonEmpty(env("LB_NAME"), file.Name), Listen: firstNonEmpty(env("LB_LISTEN"), file.Listen),
		Discovery:  firstNonEmpty(env("LB_DISCOVERY"), file.Discovery),
		Management: firstNonEmpty(env("LB_MANAGEMENT"), file.Manage),
		Cores:      file.Limits.Cores, MemoryMB: file.Limits.MemoryMB,
		PeerListen: peers.Listen, Peers: peers.Peers, PeersAll: peers.All, HoldOnRefusal: peers.HoldOnRefusal,
		Sockets: file.Limits.Sockets, KnownHosts: file.Known,
		ConnIdle: time.Duration(file.Settings.Allowed.ConnIdle) * time.Microsecond}
	if c.Listen == "" || c.Discovery == "" {
		return Config{}, errors.New("listen and discovery must be given")
	}
	if c.Settings, err = file.Settings.ToSettings(seed); err != nil {
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

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
