package addresses

import (
	"cmp"
	"maps"
	"slices"
)

// Claims says which host each address belongs to. An address reaches one host: where two list it, one of them is wrong,
// and a message sent over it may run where nobody expects it. The host that had it first keeps it as long as it lists
// it. One that is named by its dial alone has that, whoever else lists it.
//
// What changes costs as much as it touches, whatever the number of hosts.
type Claims struct {
	listed map[string][]Address // by host, of those that list any
	dial   map[string]Address   // by host, of those that are named by dial alone
	wants  map[Address]*claim
	usable map[string][]Address // as last settled

	addresses map[Address]bool // to be settled
	hosts     map[string]bool
}

// claim is who lists an address, and who has it.
type claim struct {
	listing []string // in the order of names
	dialing []string
	owner   string
	said    map[string]string // by host that goes without it: whom it was told to have it
}

// Conflict is an address that a host lists and another host has.
type Conflict struct {
	Address Address
	Host    string
	Owner   string
}

// NewClaims returns claims of nobody.
func NewClaims() *Claims {
	return &Claims{listed: map[string][]Address{}, dial: map[string]Address{}, wants: map[Address]*claim{},
		usable: map[string][]Address{}, addresses: map[Address]bool{}, hosts: map[string]bool{}}
}

// Set notes what a host lists now, or the dial of one that lists nothing.
func (c *Claims) Set(host string, listed []Address, dial string) {
	old, dialed := c.dial[host]
	if len(listed) > 0 && !dialed && slices.Equal(c.listed[host], listed) ||
		len(listed) == 0 && dialed && old.text == dial && c.listed[host] == nil {
		return
	}
	c.Remove(host)
	if len(listed) > 0 {
		c.listed[host] = listed
		for _, a := range listed {
			w := c.want(a)
			w.listing = insert(w.listing, host)
		}
		return
	}
	if a, err := Parse(dial); err == nil {
		c.dial[host] = a
		w := c.want(a)
		w.dialing = insert(w.dialing, host)
	}
}

func (c *Claims) want(a Address) *claim {
	c.addresses[a] = true
	w := c.wants[a]
	if w == nil {
		w = &claim{}
		c.wants[a] = w
	}
	return w
}

func insert(list []string, host string) []string {
	i, found := slices.BinarySearch(list, host)
	if found {
		return list
	}
	return slices.Insert(list, i, host)
}

func without(list []string, host string) []string {
	if i, found := slices.BinarySearch(list, host); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// Remove forgets a host.
func (c *Claims) Remove(host string) {
	for _, a := range c.listed[host] {
		w := c.want(a)
		w.listing = without(w.listing, host)
	}
	if a, ok := c.dial[host]; ok {
		w := c.want(a)
		w.dialing = without(w.dialing, host)
	}
	delete(c.listed, host)
	delete(c.dial, host)
	c.hosts[host] = true
}

// Hosts returns the hosts that claims are known of.
func (c *Claims) Hosts() []string {
	return slices.Concat(slices.Collect(maps.Keys(c.listed)), slices.Collect(maps.Keys(c.dial)))
}

// settle decides who has an address.
func (w *claim) settle() (owner string) {
	_, keeps := slices.BinarySearch(w.listing, w.owner)
	switch {
	case len(w.dialing) > 0:
		return w.dialing[0]
	case keeps:
		return w.owner
	case len(w.listing) > 0:
		return w.listing[0]
	}
	return ""
}

// Resolve is called once all news of one list are set: an address may move from one host to another within it. It
// returns the hosts whose usable addresses have changed, in order, and the conflicts that were not there before.
func (c *Claims) Resolve() (changed []string, conflicts []Conflict) {
	for a := range c.addresses {
		w := c.wants[a]
		owner := w.settle()
		c.hosts[w.owner], c.hosts[owner] = true, true
		w.owner = owner
		said := map[string]string{}
		for _, host := range w.listing {
			if host == owner {
				continue
			}
			c.hosts[host] = true
			if said[host] = owner; w.said[host] != owner {
				conflicts = append(conflicts, Conflict{a, host, owner})
			}
		}
		if w.said = said; owner == "" {
			delete(c.wants, a)
		}
	}
	for host := range c.hosts {
		old, had := c.usable[host]
		list, lists := c.listed[host]
		if !lists {
			if had {
				delete(c.usable, host)
				changed = append(changed, host)
			}
			continue
		}
		own := make([]Address, 0, len(list))
		for _, a := range list {
			if c.wants[a].owner == host {
				own = append(own, a)
			}
		}
		if !had || !slices.Equal(old, own) {
			c.usable[host] = own
			changed = append(changed, host)
		}
	}
	clear(c.addresses)
	clear(c.hosts)
	slices.Sort(changed)
	slices.SortFunc(conflicts, func(a, b Conflict) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Address.text, b.Address.text))
	})
	return changed, conflicts
}

// Usable returns the addresses that are the host's own, in its order of preference. The second result is false for a
// host that lists none.
func (c *Claims) Usable(host string) ([]Address, bool) {
	list, ok := c.usable[host]
	return list, ok
}
