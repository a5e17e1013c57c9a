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
	aliases  = 8    // the longest chain of CNAMEs
	mostHost = 4096 // of one name
	asking   = 32   // targets whose addresses are asked for at a time
	cached   = 2 * mostHost
)

// found is what a name has.
type found struct {
	records []sources.Record // without the time at which they end
	lives   []time.Duration  // of each
	life    time.Duration    // the least of them, or how long a negative answer may be believed
	empty   bool             // the zone itself says that there is nothing
}

// lookup asks for the hosts of names. It remembers the addresses of targets for as long as they live.
type lookup struct {
	*resolvers
	least, most time.Duration

	mu     sync.Mutex
	places map[string]place
}

// place is where a target is.
type place struct {
	ips   []netip.Addr
	until time.Time
}

var errSilent = errors.New("an empty answer without the zone's word for it")

func (l *lookup) clamp(ttl uint32) time.Duration {
	return min(max(time.Duration(life(ttl))*time.Second, l.least), l.most)
}

// follow asks for the records of a name, along its aliases. The lifetime is the least of the chain; rrs is empty where
// the zone says that there is nothing.
func (l *lookup) follow(
	ctx context.Context, name string, kind uint16,
) (m *dns.Msg, rrs []dns.RR, ttl uint32, err error) {
	ttl = 1<<31 - 1
	seen := map[string]bool{}
	for name != "" {
		key := strings.ToLower(name)
		switch {
		case seen[key]:
			return nil, nil, 0, fmt.Errorf("the aliases of %s lead in a circle", name)
		case len(seen) == aliases:
			return nil, nil, 0, fmt.Errorf("more than %d aliases", aliases)
		}
		seen[key] = true
		if m == nil || !answers(m, name) { // many resolvers send the whole chain at once
			if m, err = l.ask(ctx, name, kind); err != nil {
				return nil, nil, 0, err
			}
		}
		alias := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if !strings.EqualFold(h.Name, name) || h.Class != dns.ClassINET {
				continue
			}
			if h.Rrtype == kind {
				rrs, ttl = append(rrs, rr), min(ttl, life(h.Ttl))
			} else if c, ok := rr.(*dns.CNAME); ok {
				alias, ttl = c.Target, min(ttl, life(h.Ttl))
			}
		}
		if len(rrs) > 0 {
			return m, rrs, ttl, nil
		}
		name = alias
	}
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok { // RFC 2308, section 5
			return m, nil, min(ttl, life(soa.Hdr.Ttl), life(soa.Minttl)), nil
		}
	}
	return nil, nil, 0, errSilent
}

// life is a lifetime as RFC 2181, section 8, wants it read.
func life(ttl uint32) uint32 {
	if ttl >= 1<<31 {
		return 0
	}
	return ttl
}

// answers tells whether an answer has records of a name.
func answers(m *dns.Msg, name string) bool {
	for _, rr := range m.Answer {
		if strings.EqualFold(rr.Header().Name, name) {
			return true
		}
	}
	return false
}

// find returns the hosts of a name. An error is for when that is not known.
func (l *lookup) find(ctx context.Context, name string) (found, error) {
	m, rrs, ttl, err := l.follow(ctx, dns.Fqdn(name), dns.TypeSRV)
	if err != nil {
		return found{}, err
	}
	// RFC 2782: the service is decidedly not there
	if len(rrs) == 0 || len(rrs) == 1 && rrs[0].(*dns.SRV).Target == "." {
		return found{empty: true, life: l.clamp(ttl)}, nil
	}
	if len(rrs) > mostHost {
		return found{}, fmt.Errorf("%d records are more than %d", len(rrs), mostHost)
	}
	now := time.Now()
	l.learn(now, m.Extra, rrs)
	targets := map[string]place{}
	for _, rr := range rrs {
		targets[strings.ToLower(rr.(*dns.SRV).Target)] = place{}
	}
	f := found{life: l.clamp(ttl)}
	if err := l.locate(ctx, now, f.life, targets); err != nil {
		return found{}, err
	}
	seen := map[string]bool{}
	for _, rr := range rrs {
		s := rr.(*dns.SRV)
		r := sources.Record{Target: strings.TrimSuffix(strings.ToLower(s.Target), "."), Port: s.Port,
			Priority: s.Priority, Weight: s.Weight}
		key := fmt.Sprintf("%s:%d", r.Target, r.Port)
		if s.Port == 0 || s.Target == "." || seen[key] {
			continue
		}
		seen[key] = true
		where := targets[strings.ToLower(s.Target)]
		for _, ip := range where.ips {
			if a, err := addresses.Parse(netip.AddrPortFrom(ip, s.Port).String()); err == nil &&
				len(r.Addresses) < addresses.MaxAddresses {
				r.Addresses = append(r.Addresses, a)
			}
		}
		f.records, f.lives = append(f.records, r), append(f.lives, min(f.life, max(where.until.Sub(now), l.least)))
	}
	for _, life := range f.lives {
		f.life = min(f.life, life)
	}
	return f, nil
}

// learn keeps the addresses that came along with an answer, of its targets only.
func (l *lookup) learn(now time.Time, extra, rrs []dns.RR) {
	wanted := map[string]bool{}
	for _, rr := range rrs {
		wanted[strings.ToLower(rr.(*dns.SRV).Target)] = true
	}
	came := map[string]place{}
	for _, rr := range extra {
		name := strings.ToLower(rr.Header().Name)
		ip, ok := address(rr)
		if !ok || !wanted[name] {
			continue
		}
		until := now.Add(l.clamp(rr.Header().Ttl))
		p, had := came[name]
		if !had || until.Before(p.until) {
			p.until = until
		}
		p.ips = append(p.ips, ip)
		came[name] = p
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range came {
		l.places[name] = p
	}
}

func address(rr dns.RR) (netip.Addr, bool) {
	switch rr := rr.(type) {
	case *dns.A:
		return netip.AddrFromSlice(rr.A.To4())
	case *dns.AAAA:
		return netip.AddrFromSlice(rr.AAAA.To16())
	}
	return netip.Addr{}, false
}

// locate fills in where the targets are, and asks for those that are not known, or will not be for half of the lifetime
// of what names them. A target without an address has none; an error is for when that is not known of one.
func (l *lookup) locate(ctx context.Context, now time.Time, life time.Duration, targets map[string]place) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var missing []string
	l.mu.Lock()
	for name, p := range l.places {
		if now.After(p.until) || len(l.places) > cached {
			delete(l.places, name)
		}
	}
	for name := range targets {
		if p, ok := l.places[name]; ok && p.until.Sub(now) > life/2 {
			targets[name] = p
		} else {
			missing = append(missing, name)
		}
	}
	l.mu.Unlock()
	var wait sync.WaitGroup
	var mu sync.Mutex
	var fault error
	room := make(chan struct{}, asking)
	for _, name := range missing {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			p, err := l.where(ctx, now, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if fault == nil {
					fault = fmt.Errorf("target %s: %w", name, err)
				}
				cancel() // the rest would not help
				return
			}
			targets[name] = p
		})
	}
	wait.Wait()
	if fault != nil {
		return fault
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range missing {
		l.places[name] = targets[name]
	}
	return nil
}

// where asks for both families of a target's addresses.
func (l *lookup) where(ctx context.Context, now time.Time, name string) (place, error) {
	p := place{until: now.Add(l.most)}
	for _, kind := range []uint16{dns.TypeAAAA, dns.TypeA} {
		_, rrs, ttl, err := l.follow(ctx, name, kind)
		if err == errSilent { // many servers say nothing on a family that a name lacks
			rrs, ttl, err = nil, 0, nil
		}
		if err != nil {
			return p, err
		}
		if until := now.Add(l.clamp(ttl)); until.Before(p.until) {
			p.until = until
		}
		for _, rr := range rrs {
			if ip, ok := address(rr); ok {
				p.ips = append(p.ips, ip)
			}
		}
	}
	return p, nil
}
