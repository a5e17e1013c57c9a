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

// largestRoster bounds the bytes of a roster file: configlog.MaxMembers of some 256 bytes each.
const largestRoster = 2 << 20

// Member is an instance on the roster.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port or unix:/absolute/path
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Role    string `json:"role,omitempty"` // "origin", "relay" or "follower", which is the default
}

// Roster is who belongs to an installation. All its instances have the same, but for addresses.
type Roster struct {
	Installation string   `json:"installation"`
	Members      []Member `json:"members"`
	// TrustedNetwork permits addresses that are not of this machine: nothing that goes there is encrypted or signed.
	TrustedNetwork bool `json:"trusted_network,omitempty"`
}

var roles = map[string]configlog.Role{"": configlog.Follower, "follower": configlog.Follower, "relay": configlog.Relay,
	"origin": configlog.Origin}

// ErrInvalidRoster is wrapped by what is wrong with a roster.
var ErrInvalidRoster = errors.New("roster")

// LoadRoster reads and checks a roster file. Its errors are those of reading, and ErrRoster.
func LoadRoster(path string) (*Roster, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, largestRoster+1))
	if err != nil {
		return nil, err
	}
	return ParseRoster(text)
}

// ParseRoster reads a roster and checks it as a whole.
func ParseRoster(text []byte) (*Roster, error) {
	if len(text) > largestRoster {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrInvalidRoster, largestRoster)
	}
	r := &Roster{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidRoster, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("%w: it goes on after its end", ErrInvalidRoster)
	}
	return r, r.check()
}

func (r *Roster) check() error {
	if r.Installation == "" || len(r.Installation) > configlog.MaxNodeID {
		return fmt.Errorf("%w: installation must have 1 to %d bytes", ErrInvalidRoster, configlog.MaxNodeID)
	}
	addresses := map[string]string{}
	for _, m := range r.Members {
		if _, ok := roles[m.Role]; !ok {
			return fmt.Errorf("%w: %.64q has role %.64q", ErrInvalidRoster, m.Name, m.Role)
		}
		if err := checkAddress(m.Address, r.TrustedNetwork); err != nil {
			return fmt.Errorf("%w: %.64q: %w", ErrInvalidRoster, m.Name, err)
		}
		if other, ok := addresses[m.Address]; ok {
			return fmt.Errorf("%w: %.64q has the address of %.64q", ErrInvalidRoster, m.Name, other)
		}
		addresses[m.Address] = m.Name
	}
	if err := r.members().Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRoster, err)
	}
	return nil
}

func checkAddress(address string, trusted bool) error {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		if !filepath.IsAbs(path) {
			return fmt.Errorf("address %.64q is no absolute path", address)
		}
		return nil
	}
	ap, err := netip.ParseAddrPort(address)
	switch {
	case err != nil || ap.Port() == 0:
		return fmt.Errorf("address %.64q is neither IP:port nor unix:/absolute/path", address)
	case !ap.Addr().IsLoopback() && !trusted:
		return fmt.Errorf("address %.64q is not of this machine, and the roster has no trusted_network", address)
	}
	return nil
}

// members is the roster as the configuration log knows it.
func (r *Roster) members() configlog.Roster {
	list := make(configlog.Roster, len(r.Members))
	for i, m := range r.Members {
		list[i] = configlog.Member{Node: configlog.NodeID(m.Name), Region: m.Region, Zone: m.Zone, Role: roles[m.Role]}
	}
	return list
}

// Member returns the member of a name.
func (r *Roster) Member(name string) (Member, bool) {
	for _, m := range r.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Origins are the names of those where revisions are made.
func (r *Roster) Origins() (names []string) {
	for _, m := range r.Members {
		if roles[m.Role] == configlog.Origin {
			names = append(names, m.Name)
		}
	}
	return names
}

// network returns what net.Dial and net.Listen call an address.
func network(address string) (network, name string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", address
}
