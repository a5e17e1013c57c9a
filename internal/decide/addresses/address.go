// Package addresses decides by which of its addresses a host is reached. A host is a worker as the network code knows
// it. For each address the package keeps a status; it decides the order in which addresses are tried, when the next
// attempt starts, how long a failed address stays in backoff, and how it is tested again. It does no I/O and reads no
// clock: events come in with their time, in microseconds, and actions go out.
package addresses

import (
	"errors"
	"fmt"
	"net/netip"
	"path"
	"strings"
)

// MaxAddresses is how many addresses of a host are used; further ones are left out.
const MaxAddresses = 8

// maxPathLength is the length that fits into a socket address of Linux (unix(7): 108 bytes with the final zero byte).
const maxPathLength = 107

// Family is the family of an address.
type Family uint8

// The families.
const (
	Unix Family = iota // a Unix socket on this machine
	IPv6
	IPv4
)

// Address is one address of a host in canonical form, so that equivalent addresses are equal by ==.
type Address struct {
	kind Family
	text string // as net.Dial takes it
}

// Parse reads an address of the form IP:port, [IPv6]:port or unix:/absolute/path. Host names are errors; they are not
// looked up.
func Parse(text string) (Address, error) {
	if p, ok := strings.CutPrefix(text, "unix:"); ok {
		switch clean := path.Clean(p); {
		case !path.IsAbs(p):
			return Address{}, errors.New("the socket path is not absolute")
		case strings.ContainsRune(p, 0):
			return Address{}, errors.New("the socket path contains a zero byte")
		case len(clean) > maxPathLength:
			return Address{}, fmt.Errorf("the socket path is longer than %d bytes", maxPathLength)
		default:
			return Address{Unix, clean}, nil
		}
	}
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return Address{}, errors.New("address is not IP:port, [IPv6]:port or unix:/path")
	}
	ip := ap.Addr().Unmap()
	switch {
	case ap.Port() == 0:
		return Address{}, errors.New("port 0 is not a valid destination")
	case ip.IsUnspecified() || ip.IsMulticast():
		return Address{}, errors.New("the IP address is unspecified or multicast")
	}
	kind := IPv6
	if ip.Is4() {
		kind = IPv4
	}
	return Address{kind, netip.AddrPortFrom(ip, ap.Port()).String()}, nil
}

// Network returns the network name for net.Dial.
func (a Address) Network() string {
	if a.kind == Unix {
		return "unix"
	}
	return "tcp"
}

// Target returns the address for net.Dial.
func (a Address) Target() string { return a.text }

// String returns the form that Parse reads.
func (a Address) String() string {
	if a.kind == Unix {
		return "unix:" + a.text
	}
	return a.text
}

// MarshalBinary encodes the address for the handover to a successor process.
func (a Address) MarshalBinary() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalBinary decodes what MarshalBinary has encoded.
func (a *Address) UnmarshalBinary(text []byte) (err error) {
	*a, err = Parse(string(text))
	return err
}

// InvalidEntry is an entry of a host's address list that cannot be used, and why.
type InvalidEntry struct {
	Text string
	Err  error
}

var (
	errDuplicate = errors.New("listed twice")
	errTooMany   = fmt.Errorf("more than %d addresses", MaxAddresses)
)

// ParseList reads a host's address list. An invalid entry is left out; of the valid ones the first MaxAddresses are
// used.
func ParseList(texts []string) (list []Address, faults []InvalidEntry) {
	for _, text := range texts {
		a, err := Parse(text)
		switch {
		case err != nil:
		case contains(list, a):
			err = errDuplicate
		case len(list) == MaxAddresses:
			err = errTooMany
		}
		if err == nil {
			list = append(list, a)
		} else if len(faults) < 2*MaxAddresses { // a list with many invalid entries must not fill the log
			faults = append(faults, InvalidEntry{text[:min(len(text), 128)], err})
		}
	}
	return list, faults
}

func contains(list []Address, a Address) bool {
	for _, b := range list {
		if a == b {
			return true
		}
	}
	return false
}

// Interleave returns the addresses in the order in which they are tried while nothing is known of them: Unix sockets
// first, then the two IP families in turns, beginning with the family of the host's first IP address (RFC 8305, section
// 4). Within a family the host's own order applies.
func Interleave(list []Address) []Address {
	out := make([]Address, 0, len(list))
	var families [2][]Address // the family of the first IP address, and the other one
	var first Family
	for _, a := range list {
		switch {
		case a.kind == Unix:
			out = append(out, a)
		case len(families[0]) == 0 || a.kind == first:
			first = a.kind
			families[0] = append(families[0], a)
		default:
			families[1] = append(families[1], a)
		}
	}
	for len(families[0])+len(families[1]) > 0 {
		for i, f := range families {
			if len(f) > 0 {
				out, families[i] = append(out, f[0]), f[1:]
			}
		}
	}
	return out
}
