package srv

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"topazfall/internal/decide/addresses"
	"topazfall/internal/decide/sources"
)

const (
	maxAliases         = 8    // CNAMEs in a chain
	maxHosts           = 4096 // SRV records of one name
	maxParallelTargets = 32   // targets whose addresses are looked up at a time
	maxCachedTargets   = 2 * maxHosts
)

// hostSet is the result of the lookup of a name.
type hostSet struct {
	records   []sources.Record // Expires is not set
	lifetimes []time.Duration  // of each record
	lifetime  time.Duration    // the minimum of lifetimes, or the lifetime of a negative answer
	empty     bool             // an authoritative answer says that there are no records
}

// lookup looks up the hosts of names. It caches the addresses of targets for their lifetime.
type lookup struct {
	*resolverPool
	minLifetime, maxLifetime time.Duration

	mu    sync.Mutex
	cache map[string]targetAddrs // by target in lower case
}

// targetAddrs are the addresses of a target.
type targetAddrs struct {
	ips     []netip.Addr
	expires time.Time
}

var errEmptyWithoutSOA = errors.New("the answer is empty and has no SOA record")

// clampTTL returns a TTL as a duration between the minimum and the maximum lifetime.
func (l *lookup) clampTTL(ttl uint32) time.Duration {
	return min(max(time.Duration(ttlSeconds(ttl))*time.Second, l.minLifetime), l.maxLifetime)
}

// resolve queries the records of a name and follows its aliases. ttl is the minimum of the chain in seconds. rrs is
// empty if an authoritative answer, which has an SOA record, says that there are none.
func (l *lookup) resolve(
	ctx context.Context, name string, rrType uint16,
) (m *dns.Msg, rrs []dns.RR, ttl uint32, err error) {
	ttl = 1<<31 - 1
	visited := map[string]bool{}
	for name != "" {
		key := strings.ToLower(name)
		switch {
		case visited[key]:
			return nil, nil, 0, fmt.Errorf("the aliases of %s form a loop", name)
		case len(visited) == maxAliases:
			return nil, nil, 0, fmt.Errorf("more than %d aliases", maxAliases)
		}
		visited[key] = true
		if m == nil || !hasRecordsOf(m, name) { // many resolvers send the whole chain in one answer
			if m, err = l.query(ctx, name, rrType); err != nil {
				return nil, nil, 0, err
			}
		}
		alias := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if !strings.EqualFold(h.Name, name) || h.Class != dns.ClassINET {
				continue
			}
			if h.Rrtype == rrType {
				rrs, ttl = append(rrs, rr), min(ttl, ttlSeconds(h.Ttl))
			} else if cname, ok := rr.(*dns.CNAME); ok {
				alias, ttl = cname.Target, min(ttl, ttlSeconds(h.Ttl))
			}
		}
		if len(rrs) > 0 {
			return m, rrs, ttl, nil
		}
		name = alias
	}
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok { // RFC 2308, section 5
			return m, nil, min(ttl, ttlSeconds(soa.Hdr.Ttl), ttlSeconds(soa.Minttl)), nil
		}
	}
	return nil, nil, 0, errEmptyWithoutSOA
}

// ttlSeconds returns a TTL as RFC 2181, section 8, defines it: values with the highest bit set count as 0.
func ttlSeconds(ttl uint32) uint32 {
	if ttl >= 1<<31 {
		return 0
	}
	return ttl
}

// hasRecordsOf reports whether an answer has records of a name.
func hasRecordsOf(m *dns.Msg, name string) bool {
	for _, rr := range m.Answer {
		if strings.EqualFold(rr.Header().Name, name) {
			return true
		}
	}
	return false
}

// find returns the hosts of a name, or an error if they cannot be determined.
func (l *lookup) find(ctx context.Context, name string) (hostSet, error) {
	m, rrs, ttl, err := l.resolve(ctx, dns.Fqdn(name), dns.TypeSRV)
	if err != nil {
		return hostSet{}, err
	}
	// RFC 2782: a single record with the target "." means that the service is not available.
	if len(rrs) == 0 || len(rrs) == 1 && rrs[0].(*dns.SRV).Target == "." {
		return hostSet{empty: true, lifetime: l.clampTTL(ttl)}, nil
	}
	if len(rrs) > maxHosts {
		return hostSet{}, fmt.Errorf("%d records exceed the maximum of %d", len(rrs), maxHosts)
	}
	now := time.Now()
	l.cacheAdditional(now, m.Extra, rrs)
	targets := map[string]targetAddrs{}
	for _, rr := range rrs {
		targets[strings.ToLower(rr.(*dns.SRV).Target)] = targetAddrs{}
	}
	result := hostSet{lifetime: l.clampTTL(ttl)}
	if err := l.resolveTargets(ctx, now, result.lifetime, targets); err != nil {
		return hostSet{}, err
	}
	seen := map[string]bool{}
	for _, rr := range rrs {
		service := rr.(*dns.SRV)
		record := sources.Record{Target: strings.TrimSuffix(strings.ToLower(service.Target), "."), Port: service.Port,
			Priority: service.Priority, Weight: service.Weight}
		key := fmt.Sprintf("%s:%d", record.Target, record.Port)
		if service.Port == 0 || service.Target == "." || seen[key] {
			continue
		}
		seen[key] = true
		target := targets[strings.ToLower(service.Target)]
		for _, ip := range target.ips {
			if address, err := addresses.Parse(netip.AddrPortFrom(ip, service.Port).String()); err == nil &&
				len(record.Addresses) < addresses.MaxAddresses {
				record.Addresses = append(record.Addresses, address)
			}
		}
		result.records, result.lifetimes = append(result.records, record), append(result.lifetimes,
			min(result.lifetime, max(target.expires.Sub(now), l.minLifetime)))
	}
	for _, lifetime := range result.lifetimes {
		result.lifetime = min(result.lifetime, lifetime)
	}
	return result, nil
}

// cacheAdditional caches the addresses in the additional section of an answer, of its targets only.
func (l *lookup) cacheAdditional(now time.Time, extra, rrs []dns.RR) {
	wanted := map[string]bool{}
	for _, rr := range rrs {
		wanted[strings.ToLower(rr.(*dns.SRV).Target)] = true
	}
	received := map[string]targetAddrs{}
	for _, rr := range extra {
		name := strings.ToLower(rr.Header().Name)
		ip, ok := recordAddr(rr)
		if !ok || !wanted[name] {
			continue
		}
		expires := now.Add(l.clampTTL(rr.Header().Ttl))
		addrs, exists := received[name]
		if !exists || expires.Before(addrs.expires) {
			addrs.expires = expires
		}
		addrs.ips = append(addrs.ips, ip)
		received[name] = addrs
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, addrs := range received {
		l.cache[name] = addrs
	}
}

// recordAddr returns the address in an A or AAAA record.
func recordAddr(rr dns.RR) (netip.Addr, bool) {
	switch rr := rr.(type) {
	case *dns.A:
		return netip.AddrFromSlice(rr.A.To4())
	case *dns.AAAA:
		return netip.AddrFromSlice(rr.AAAA.To16())
	}
	return netip.Addr{}, false
}

// resolveTargets fills in the addresses of the targets. It looks up those that are not cached, or whose cache entry
// expires within half of the lifetime of the records that name them. A target may have no address; an error means that
// the addresses of a target could not be determined.
func (l *lookup) resolveTargets(
	ctx context.Context, now time.Time, lifetime time.Duration, targets map[string]targetAddrs,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var missing []string
	l.mu.Lock()
	for name, addrs := range l.cache {
		if now.After(addrs.expires) || len(l.cache) > maxCachedTargets {
			delete(l.cache, name)
		}
	}
	for name := range targets {
		if addrs, ok := l.cache[name]; ok && addrs.expires.Sub(now) > lifetime/2 {
			targets[name] = addrs
		} else {
			missing = append(missing, name)
		}
	}
	l.mu.Unlock()
	var wait sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	slots := make(chan struct{}, maxParallelTargets)
	for _, name := range missing {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			addrs, err := l.resolveTarget(ctx, now, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if firstErr == nil {
					firstErr = fmt.Errorf("target %s: %w", name, err)
				}
				cancel() // the other targets alone are of no use
				return
			}
			targets[name] = addrs
		})
	}
	wait.Wait()
	if firstErr != nil {
		return firstErr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range missing {
		l.cache[name] = targets[name]
	}
	return nil
}

// resolveTarget looks up the IPv6 and IPv4 addresses of a target.
func (l *lookup) resolveTarget(ctx context.Context, now time.Time, name string) (targetAddrs, error) {
	addrs := targetAddrs{expires: now.Add(l.maxLifetime)}
	for _, rrType := range []uint16{dns.TypeAAAA, dns.TypeA} {
		_, rrs, ttl, err := l.resolve(ctx, name, rrType)
		if err == errEmptyWithoutSOA { // as many servers answer for an address family that a name lacks
			rrs, ttl, err = nil, 0, nil
		}
		if err != nil {
			return addrs, err
		}
		if expires := now.Add(l.clampTTL(ttl)); expires.Before(addrs.expires) {
			addrs.expires = expires
		}
		for _, rr := range rrs {
			if ip, ok := recordAddr(rr); ok {
				addrs.ips = append(addrs.ips, ip)
			}
		}
	}
	return addrs, nil
}
