// Package addresses decides by which of its addresses a south side host is reached: what is believed of each, the
// order to try them in, when to begin with the next, how long a failed one rests and how it is proved again. It does
// no I/O and reads no clock: events come in with their time, in microseconds, and actions go out.
package addresses

import (
	"errors"
	"fmt"
	"net/netip"
	"path"
	"strings"
)

// MaxAddresses is how many addresses of a host are used; what a list names beyond that is left out.
const MaxAddresses = 8

// longestPath is what fits into a socket address of Linux (unix(7): 108 bytes with the closing zero).
const longestPath = 107

// Family is the family of an address.
type Family uint8

// The kinds.
const (
	Unix Family = iota // a Unix socket on this machine
	IPv6
	IPv4
)

// Address is one way to reach a host, in its canonical form, so that two that mean the same are equal by ==.
type Address struct {
	kind Family
	text string // as net.Dial takes it
}

// Parse reads an address of the form IP:port, [IPv6]:port or unix:/absolute/path. Names are not looked up, and are
// errors.
func Parse(text string) (Address, error) {
	if p, ok := strings.CutPrefix(text, "unix:"); ok {
		switch clean := path.Clean(p); {
		case !path.IsAbs(p):
			return Address{}, errors.New("the path of a socket must be absolute")
		case strings.ContainsRune(p, 0):
			return Address{}, errors.New("the path of a socket holds a zero byte")
		case len(clean) > longestPath:
			return Address{}, fmt.Errorf("the path of a socket is longer than %d bytes", longestPath)
		default:
			return Address{Unix, clean}, nil
		}
	}
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return Address{}, errors.New("neither IP:port nor [IPv6]:port nor unix:/path")
	}
	ip := ap.Addr().Unmap()
	switch {
	case ap.Port() == 0:
		return Address{}, errors.New("port 0 cannot be connected to")
	case ip.IsUnspecified() || ip.IsMulticast():
		return Address{}, errors.New("the address is nobody's own")
	}
	kind := IPv6
	if ip.Is4() {
		kind = IPv4
	}
	return Address{kind, netip.AddrPortFrom(ip, ap.Port()).String()}, nil
}

// Network is the network's name for net.Dial.
func (a Address) Network() string {
	if a.kind == Unix {
		return "unix"
	}
	return "tcp"
}

// Target is what net.Dial takes as the address.
func (a Address) Target() string { return a.text }

// String is the form that Parse reads.
func (a Address) String() string {
	if a.kind == Unix {
		return "unix:" + a.text
	}
	return a.text
}

// MarshalBinary is for what a process hands over to the next.
func (a Address) MarshalBinary() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalBinary reads what MarshalBinary has written.
func (a *Address) UnmarshalBinary(text []byte) (err error) {
	*a, err = Parse(string(text))
	return err
}

// InvalidEntry is an entry of a host's list that cannot be used, and why.
type InvalidEntry struct {
	Text string
	Err  error
}

var (
	errTwice = errors.New("listed twice")
	errMore  = fmt.Errorf("more than %d addresses", MaxAddresses)
)

// ParseList reads a host's list. A bad entry costs that entry only; of the good ones the first Most are used.
func ParseList(texts []string) (list []Address, faults []InvalidEntry) {
	for _, text := range texts {
		a, err := Parse(text)
		switch {
		case err != nil:
		case has(list, a):
			err = errTwice
		case len(list) == MaxAddresses:
			err = errMore
		}
		if err == nil {
			list = append(list, a)
		} else if len(faults) < 2*MaxAddresses { // a hostile list must not fill the log
			faults = append(faults, InvalidEntry{text[:min(len(text), 128)], err})
		}
	}
	return list, faults
}

func has(list []Address, a Address) bool {
	for _, b := range list {
		if a == b {
			return true
		}
	}
	return false
}

// Interleave returns the addresses in the order in which they are tried while nothing is known of them: sockets of this
// machine first, then the two families in turns, beginning with that of the host's first (RFC 8305, section 4); within
// a kind the host's own order holds.
func Interleave(list []Address) []Address {
	out := make([]Address, 0, len(list))
	var families [2][]Address // the first one's family, and the other
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
