package addresses

import (
	"cmp"
	"maps"
	"slices"
)

// Claims decides which host owns each address. An address reaches one host: where two hosts list it, one of them is
// wrong, and a request that is sent to it may run on the wrong host. The host that owned an address first keeps it as
// long as it lists it. A host that lists no addresses is reached by its single dial address and owns that address,
// whatever other hosts list.
//
// The cost of a change depends on the addresses and hosts that it affects, not on the number of hosts.
type Claims struct {
	listed map[string][]Address // by host; hosts that list addresses
	dialed map[string]Address   // by host; hosts that list none and have a dial address
	claims map[Address]*addressClaim
	usable map[string][]Address // by host, as of the last Resolve

	inheritedOwners map[string]string // by address: its owner in the predecessor, if it is not listed here yet

	changedAddresses map[Address]bool // since the last Resolve
	changedHosts     map[string]bool
}

// addressClaim holds the hosts that list an address, and the one that owns it.
type addressClaim struct {
	listing       []string // sorted
	dialing       []string
	owner         string
	reportedOwner map[string]string // owner that was reported as a conflict, by host that does not own the address
}

// Conflict is an address that a host lists and another host owns.
type Conflict struct {
	Address Address
	Host    string
	Owner   string
}

// NewClaims returns an empty set of claims.
func NewClaims() *Claims {
	return &Claims{listed: map[string][]Address{}, dialed: map[string]Address{}, claims: map[Address]*addressClaim{},
		usable: map[string][]Address{}, changedAddresses: map[Address]bool{}, changedHosts: map[string]bool{}}
}

// Set records the addresses that a host lists, or the dial address of a host that lists none.
func (c *Claims) Set(host string, listed []Address, dial string) {
	old, dialed := c.dialed[host]
	if len(listed) > 0 && !dialed && slices.Equal(c.listed[host], listed) ||
		len(listed) == 0 && dialed && old.text == dial && c.listed[host] == nil {
		return
	}
	c.Remove(host)
	if len(listed) > 0 {
		c.listed[host] = listed
		for _, a := range listed {
			claim := c.claimOf(a)
			claim.listing = insertSorted(claim.listing, host)
		}
		return
	}
	if a, err := Parse(dial); err == nil {
		c.dialed[host] = a
		claim := c.claimOf(a)
		claim.dialing = insertSorted(claim.dialing, host)
	}
}

// claimOf returns the claim on an address and marks the address as changed.
func (c *Claims) claimOf(a Address) *addressClaim {
	c.changedAddresses[a] = true
	claim := c.claims[a]
	if claim == nil {
		claim = &addressClaim{owner: c.inheritedOwners[a.text]}
		delete(c.inheritedOwners, a.text)
		c.claims[a] = claim
	}
	return claim
}

func insertSorted(list []string, host string) []string {
	i, found := slices.BinarySearch(list, host)
	if found {
		return list
	}
	return slices.Insert(list, i, host)
}

func removeSorted(list []string, host string) []string {
	if i, found := slices.BinarySearch(list, host); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// Remove removes a host.
func (c *Claims) Remove(host string) {
	for _, a := range c.listed[host] {
		claim := c.claimOf(a)
		claim.listing = removeSorted(claim.listing, host)
	}
	if a, ok := c.dialed[host]; ok {
		claim := c.claimOf(a)
		claim.dialing = removeSorted(claim.dialing, host)
	}
	delete(c.listed, host)
	delete(c.dialed, host)
	c.changedHosts[host] = true
}

// Contested returns the owners of the addresses that several hosts list, by address, for a successor.
func (c *Claims) Contested() map[string]string {
	owners := map[string]string{}
	for a, claim := range c.claims {
		if len(claim.listing) > 1 {
			owners[a.text] = claim.owner
		}
	}
	return owners
}

// Inherit sets the owners of addresses in a predecessor: each keeps its address as long as it lists it. It must be
// called before the list is set.
func (c *Claims) Inherit(owners map[string]string) { c.inheritedOwners = maps.Clone(owners) }

// Hosts returns the hosts that have claims, in no particular order.
func (c *Claims) Hosts() []string {
	return slices.Concat(slices.Collect(maps.Keys(c.listed)), slices.Collect(maps.Keys(c.dialed)))
}

// chooseOwner returns the host that owns the address, "" if there is none.
func (c *addressClaim) chooseOwner() (owner string) {
	_, stillListed := slices.BinarySearch(c.listing, c.owner)
	switch {
	case len(c.dialing) > 0:
		return c.dialing[0]
	case stillListed:
		return c.owner
	case len(c.listing) > 0:
		return c.listing[0]
	}
	return ""
}

// Resolve decides the owners of all changed addresses. It must be called after all changes of one list are set, because
// an address may move from one host to another within a list. It returns the hosts whose usable addresses have changed,
// sorted, and the new conflicts.
func (c *Claims) Resolve() (changed []string, conflicts []Conflict) {
	for a := range c.changedAddresses {
		claim := c.claims[a]
		owner := claim.chooseOwner()
		c.changedHosts[claim.owner], c.changedHosts[owner] = true, true
		claim.owner = owner
		reported := map[string]string{}
		for _, host := range claim.listing {
			if host == owner {
				continue
			}
			c.changedHosts[host] = true
			if reported[host] = owner; claim.reportedOwner[host] != owner {
				conflicts = append(conflicts, Conflict{a, host, owner})
			}
		}
		if claim.reportedOwner = reported; owner == "" {
			delete(c.claims, a)
		}
	}
	for host := range c.changedHosts {
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
			if c.claims[a].owner == host {
				own = append(own, a)
			}
		}
		if !had || !slices.Equal(old, own) {
			c.usable[host] = own
			changed = append(changed, host)
		}
	}
	clear(c.changedAddresses)
	clear(c.changedHosts)
	slices.Sort(changed)
	slices.SortFunc(conflicts, func(a, b Conflict) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Address.text, b.Address.text))
	})
	return changed, conflicts
}

// Usable returns the listed addresses that the host owns, in its order of preference. The second result is false for a
// host that lists none.
func (c *Claims) Usable(host string) ([]Address, bool) {
	list, ok := c.usable[host]
	return list, ok
}
