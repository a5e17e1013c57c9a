// Package settings is the document that an instance is told by the control API: its defaults, its checks, and the
// revisions that were taken.
package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"topazfall"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/decide/sources"
)

// Bounds of a document.
const (
	mostFaults    = 100 // that are listed; a document of them only is not worth reading further
	mostNames     = 64
	mostPlaces    = 256
	mostResolvers = 8
	mostBytes     = 1 << 20
	mostTeams     = 1024
	mostTeamName  = 128
	mostQuota     = 1e6 // jobs a second: far beyond what one dispatcher serves
)

// Fault is one thing that is wrong with a document.
type Fault struct{ Path, Text string }

func (f Fault) String() string { return f.Path + ": " + f.Text }

// Faults is an error that lists them all.
type Faults []Fault

func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, one := range f {
		texts[i] = one.String()
	}
	return strings.Join(texts, "; ")
}

// duration is a field with its default and its bounds.
type duration struct {
	name        string
	value       **durationpb.Duration
	def         time.Duration
	least, most time.Duration
}

func us(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

func sourceDurations(s *pb.Sources) []duration {
	d := sources.Defaults
	return []duration{
		{"timeout", &s.Timeout, time.Second, 10 * time.Millisecond, 30 * time.Second},
		{"least_lifetime", &s.LeastLifetime, time.Second, 100 * time.Millisecond, time.Hour},
		{"most_lifetime", &s.MostLifetime, time.Hour, time.Second, 24 * time.Hour},
		{"hold", &s.Hold, us(d.Hold), 0, 24 * time.Hour},
		{"drain_every", &s.DrainEvery, us(d.DrainEvery), 10 * time.Millisecond, time.Hour},
		{"flap_window", &s.FlapWindow, us(d.FlapWindow), time.Second, time.Hour},
		{"flap_hold", &s.FlapHold, us(d.FlapHold), 0, time.Hour},
	}
}

func addressDurations(a *pb.Addresses) []duration {
	d := addresses.Defaults
	return []duration{
		{"delay_least", &a.DelayLeast, us(d.MinDelay), 10 * time.Millisecond, 2 * time.Second},
		{"delay_first", &a.DelayFirst, us(d.InitialDelay), 10 * time.Millisecond, 2 * time.Second},
		{"delay_most", &a.DelayMost, us(d.MaxDelay), 10 * time.Millisecond, 2 * time.Second},
		{"rest_least", &a.RestLeast, us(d.MinBackoff), 10 * time.Millisecond, time.Minute},
		{"rest_most", &a.RestMost, us(d.MaxBackoff), 10 * time.Millisecond, 10 * time.Minute},
		{"calm", &a.Calm, us(d.CalmPeriod), 0, time.Hour},
	}
}

// Effective returns the document with all defaults filled in.
func Effective(doc *pb.Settings) *pb.Settings {
	d := &pb.Settings{}
	if doc != nil {
		d = proto.CloneOf(doc)
	}
	if d.Sources == nil {
		d.Sources = &pb.Sources{}
	}
	if d.Addresses == nil {
		d.Addresses = &pb.Addresses{}
	}
	for _, f := range append(sourceDurations(d.Sources), addressDurations(d.Addresses)...) {
		if *f.value == nil {
			*f.value = durationpb.New(f.def)
		}
	}
	if d.Sources.Confirmations == 0 {
		d.Sources.Confirmations = uint32(sources.Defaults.Confirmations)
	}
	if d.Sources.Flaps == 0 {
		d.Sources.Flaps = uint32(sources.Defaults.Flaps)
	}
	for _, n := range d.Sources.Srv {
		if n.WeightUnit == 0 {
			n.WeightUnit = sources.DefaultWeightUnit
		}
	}
	return d
}

// label is what a name may consist of: letters, digits, hyphens, and the underscore that service names begin with.
var label = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9])?$`)

func checkName(text string) string {
	name := strings.TrimSuffix(text, ".")
	if name == "" || len(name) > 253 {
		return "must have 1 to 253 bytes"
	}
	for l := range strings.SplitSeq(name, ".") {
		if !label.MatchString(l) {
			return fmt.Sprintf("%.64q is no label of a name", l)
		}
	}
	return ""
}

// Check lists everything that is wrong with a document, mostFaults faults at most.
func Check(doc *pb.Settings) Faults {
	c := &checker{}
	if n := proto.Size(doc); n > mostBytes {
		c.bad("settings", "%d bytes are more than %d", n, mostBytes)
		return c.faults
	}
	d := Effective(doc)
	c.checkDurations(d)
	c.checkSources(d.Sources)
	c.checkTeams(d.Teams)
	c.checkNames(d.Sources.Srv)
	return c.faults
}

// checker gathers what is wrong with a document.
type checker struct{ faults Faults }

func (c *checker) bad(path, format string, args ...any) {
	if len(c.faults) < mostFaults {
		c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, args...)})
	}
}

// checkDurations checks each duration within its own bounds and, where all of a section are, those of one section
// against each other.
func (c *checker) checkDurations(d *pb.Settings) {
	s, a := d.Sources, d.Addresses
	if c.within("sources.", sourceDurations(s)) {
		c.ordered("sources.", "least_lifetime", "most_lifetime", s.LeastLifetime, s.MostLifetime)
	}
	if c.within("addresses.", addressDurations(a)) {
		c.ordered("addresses.", "delay_least", "delay_first", a.DelayLeast, a.DelayFirst)
		c.ordered("addresses.", "delay_first", "delay_most", a.DelayFirst, a.DelayMost)
		c.ordered("addresses.", "rest_least", "rest_most", a.RestLeast, a.RestMost)
	}
}

// within tells whether all durations of a section are within their bounds.
func (c *checker) within(section string, list []duration) bool {
	sound := true
	for _, f := range list {
		if err := (*f.value).CheckValid(); err != nil {
			c.bad(section+f.name, "is no duration")
			sound = false
		} else if v := (*f.value).AsDuration(); v < f.least || v > f.most {
			c.bad(section+f.name, "%s is not within %s to %s", v, f.least, f.most)
			sound = false
		}
	}
	return sound
}

func (c *checker) ordered(section, low, high string, a, b *durationpb.Duration) {
	if a.AsDuration() > b.AsDuration() {
		c.bad(section+low, "%s is more than %s, which is %s", a.AsDuration(), high, b.AsDuration())
	}
}

// checkSources checks the counts of names and resolvers, the resolvers, and the counters of the merge.
func (c *checker) checkSources(s *pb.Sources) {
	if len(s.Srv) > mostNames {
		c.bad("sources.srv", "%d names are more than %d", len(s.Srv), mostNames)
	}
	if len(s.Resolvers) > mostResolvers {
		c.bad("sources.resolvers", "%d are more than %d", len(s.Resolvers), mostResolvers)
	}
	if len(s.Srv) > 0 && len(s.Resolvers) == 0 {
		c.bad("sources.resolvers", "there are names and nobody to ask")
	}
	for i, text := range s.Resolvers {
		path := fmt.Sprintf("sources.resolvers[%d]", i)
		if !isResolver(text) {
			c.bad(path, "%.64q is no IP:port of a resolver", text)
		}
		if slices.Contains(s.Resolvers[:i], text) {
			c.bad(path, "%.64q is listed twice", text)
		}
	}
	if s.Confirmations > 100 {
		c.bad("sources.confirmations", "%d is not within 1 to 100", s.Confirmations)
	}
	if s.Flaps > 16 {
		c.bad("sources.flaps", "%d is not within 1 to 16", s.Flaps)
	}
}

// isResolver tells whether a text is the IP:port of a single host.
func isResolver(text string) bool {
	ap, err := netip.ParseAddrPort(text)
	return err == nil && ap.Port() != 0 && !ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast()
}

func (c *checker) checkNames(names []*pb.Srv) {
	seen := map[string]bool{}
	for i, n := range names {
		path := fmt.Sprintf("sources.srv[%d].", i)
		if fault := checkName(n.Name); fault != "" {
			c.bad(path+"name", "%.64q: %s", n.Name, fault)
		}
		if key := Canonical(n.Name); seen[key] {
			c.bad(path+"name", "%.64q is listed twice", n.Name)
		} else {
			seen[key] = true
		}
		if n.WeightUnit > 65535 {
			c.bad(path+"weight_unit", "%d is not within 1 to 65535", n.WeightUnit)
		}
		if len(n.Places) > mostPlaces {
			c.bad(path+"places", "%d are more than %d", len(n.Places), mostPlaces)
		}
		for j, p := range n.Places {
			if p.Suffix == "" || len(p.Suffix) > 253 {
				c.bad(fmt.Sprintf("%splaces[%d].suffix", path, j), "must have 1 to 253 bytes")
			}
		}
		for field, text := range map[string]string{"zone": n.Zone, "kind": n.Kind} {
			if len(text) > 128 {
				c.bad(path+field, "is longer than 128 bytes")
			}
		}
	}
}

func (c *checker) checkTeams(teams []*pb.Team) {
	if len(teams) > mostTeams {
		c.bad("teams", "%d are more than %d", len(teams), mostTeams)
		return
	}
	seen := map[string]bool{}
	for i, team := range teams {
		path := fmt.Sprintf("teams[%d].", i)
		if team.Name == "" || len(team.Name) > mostTeamName {
			c.bad(path+"name", "must have 1 to %d bytes", mostTeamName)
		}
		if seen[team.Name] {
			c.bad(path+"name", "%.64q is listed twice", team.Name)
		}
		seen[team.Name] = true
		if !(team.Share >= 0 && team.Share <= 1) {
			c.bad(path+"share", "%v is not within 0 to 1", team.Share)
		}
		if !(team.Quota >= 0 && team.Quota <= mostQuota) {
			c.bad(path+"quota", "%v is not within 0 to %v", team.Quota, mostQuota)
		}
	}
}

// Tenants are the teams as the decision module knows them.
func Tenants(doc *pb.Settings) []topazfall.Tenant {
	teams := make([]topazfall.Tenant, len(doc.GetTeams()))
	for i, team := range doc.GetTeams() {
		teams[i] = topazfall.Tenant{Name: team.Name, Share: team.Share, Quota: team.Quota}
	}
	return teams
}

// Canonical is a name in the form in which names are compared.
func Canonical(name string) string { return strings.ToLower(strings.TrimSuffix(name, ".")) }

// AddressLimits are the knobs of addresses.
func AddressLimits(effective *pb.Settings) addresses.Limits {
	a := effective.Addresses
	return addresses.Limits{MinDelay: a.DelayLeast.AsDuration().Microseconds(),
		InitialDelay: a.DelayFirst.AsDuration().Microseconds(), MaxDelay: a.DelayMost.AsDuration().Microseconds(),
		MinBackoff: a.RestLeast.AsDuration().Microseconds(),
		MaxBackoff: a.RestMost.AsDuration().Microseconds(), CalmPeriod: a.Calm.AsDuration().Microseconds()}
}

// MergeSettings are the knobs of the merge of sources, and the names with theirs.
func MergeSettings(effective *pb.Settings) (sources.Settings, map[string]sources.NameSettings) {
	s := effective.Sources
	names := map[string]sources.NameSettings{}
	for _, n := range s.Srv {
		places := make([]sources.Place, len(n.Places))
		for i, p := range n.Places {
			places[i] = sources.Place{Suffix: strings.TrimSuffix(strings.ToLower(p.Suffix), "."), Zone: p.Zone,
				Kind: p.Kind}
		}
		names[Canonical(n.Name)] = sources.NameSettings{Zone: n.Zone, Kind: n.Kind, Places: places,
			WeightUnit: int(n.WeightUnit), WithPort: n.NamedWithPort}
	}
	return sources.Settings{Hold: s.Hold.AsDuration().Microseconds(),
		DrainEvery: s.DrainEvery.AsDuration().Microseconds(), Confirmations: int(s.Confirmations), Flaps: int(s.Flaps),
		FlapWindow: s.FlapWindow.AsDuration().Microseconds(),
		FlapHold:   s.FlapHold.AsDuration().Microseconds()}, names
}
