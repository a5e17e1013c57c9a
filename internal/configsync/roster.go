package configsync

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"encoding/json"

	"topazfall/internal/decide/configlog"
)

// maxRosterBytes limits the size of a roster file: configlog.MaxMembers members of about 256 bytes each.
const maxRosterBytes = 2 << 20

// Member is an instance listed on the roster.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port or unix:/absolute/path
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Role    string `json:"role,omitempty"` // "origin", "relay" or "follower" (the default)
}

// Roster lists the instances of an installation. It is the same at all of them, apart from the addresses.
type Roster struct {
	Installation string   `json:"installation"`
	Members      []Member `json:"members"`
	// TrustedNetwork permits addresses outside this machine, although connections are neither encrypted nor signed.
	TrustedNetwork bool `json:"trusted_network,omitempty"`
}

var roles = map[string]configlog.Role{"": configlog.Follower, "follower": configlog.Follower, "relay": configlog.Relay,
	"origin": configlog.Origin}

// ErrInvalidRoster is wrapped by all errors about the content of a roster.
var ErrInvalidRoster = errors.New("roster")

// LoadRoster reads and validates a roster file. Its errors are those of reading the file and ErrInvalidRoster.
func LoadRoster(path string) (*Roster, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxRosterBytes+1))
	if err != nil {
		return nil, err
	}
	return ParseRoster(text)
}

// ParseRoster parses a roster and validates it.
func ParseRoster(text []byte) (*Roster, error) {
	if len(text) > maxRosterBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrInvalidRoster, maxRosterBytes)
	}
	r := &Roster{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidRoster, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("%w: data after its end", ErrInvalidRoster)
	}
	return r, r.check()
}

func (r *Roster) check() error {
	if r.Installation == "" || len(r.Installation) > configlog.MaxNodeID {
		return fmt.Errorf("%w: installation must be 1 to %d bytes long", ErrInvalidRoster, configlog.MaxNodeID)
	}
	addresses := map[string]string{}
	for _, m := range r.Members {
		if _, ok := roles[m.Role]; !ok {
			return fmt.Errorf("%w: %.64q has unknown role %.64q", ErrInvalidRoster, m.Name, m.Role)
		}
		if err := checkAddress(m.Address, r.TrustedNetwork); err != nil {
			return fmt.Errorf("%w: %.64q: %w", ErrInvalidRoster, m.Name, err)
		}
		if other, ok := addresses[m.Address]; ok {
			return fmt.Errorf("%w: %.64q has the address of %.64q", ErrInvalidRoster, m.Name, other)
		}
		addresses[m.Address] = m.Name
	}
	if err := r.logRoster().Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRoster, err)
	}
	return nil
}

func checkAddress(address string, trusted bool) error {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		if !filepath.IsAbs(path) {
			return fmt.Errorf("address %.64q is not an absolute path", address)
		}
		return nil
	}
	ap, err := netip.ParseAddrPort(address)
	switch {
	case err != nil || ap.Port() == 0:
		return fmt.Errorf("address %.64q is neither IP:port nor unix:/absolute/path", address)
	case !ap.Addr().IsLoopback() && !trusted:
		return fmt.Errorf("address %.64q is not on this machine, and the roster does not set trusted_network", address)
	}
	return nil
}

// logRoster converts the roster to that of the configuration log.
func (r *Roster) logRoster() configlog.Roster {
	list := make(configlog.Roster, len(r.Members))
	for i, m := range r.Members {
		list[i] = configlog.Member{Node: configlog.NodeID(m.Name), Region: m.Region, Zone: m.Zone, Role: roles[m.Role]}
	}
	return list
}

// Member returns the member with the given name.
func (r *Roster) Member(name string) (Member, bool) {
	for _, m := range r.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Origins returns the names of the members that can create revisions.
func (r *Roster) Origins() (names []string) {
	for _, m := range r.Members {
		if roles[m.Role] == configlog.Origin {
			names = append(names, m.Name)
		}
	}
	return names
}

// splitAddress returns the network and the address for net.Dial and net.Listen.
func splitAddress(address string) (network, name string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", address
}
