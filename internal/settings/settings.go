// Package settings handles the settings document that an instance receives by the control API: its defaults, its
// checks, and the store of its accepted revisions.
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

// Limits of a document.
const (
	maxFaults        = 100 // reported for one document; a longer list would not help its author
	maxNames         = 64
	maxPlaces        = 256
	maxResolvers     = 8
	maxBytes         = 1 << 20
	maxTeams         = 1024
	maxTeamNameBytes = 128
	maxQuota         = 1e6 // jobs per second; far more than one dispatcher serves
)

// Fault is one fault of a document, at the path of a field.
type Fault struct{ Path, Text string }

func (f Fault) String() string { return f.Path + ": " + f.Text }

// Faults is an error that lists the faults of a document.
type Faults []Fault

func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, one := range f {
		texts[i] = one.String()
	}
	return strings.Join(texts, "; ")
}

// durationField is a field of type duration with its default and its bounds.
type durationField struct {
	name         string
	value        **durationpb.Duration
	defaultValue time.Duration
	lower, upper time.Duration
}

func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

func sourceDurations(s *pb.Sources) []durationField {
	d := sources.Defaults
	return []durationField{
		{"timeout", &s.Timeout, time.Second, 10 * time.Millisecond, 30 * time.Second},
		{"least_lifetime", &s.LeastLifetime, time.Second, 100 * time.Millisecond, time.Hour},
		{"most_lifetime", &s.MostLifetime, time.Hour, time.Second, 24 * time.Hour},
		{"hold", &s.Hold, microseconds(d.Hold), 0, 24 * time.Hour},
		{"drain_every", &s.DrainEvery, microseconds(d.DrainEvery), 10 * time.Millisecond, time.Hour},
		{"flap_window", &s.FlapWindow, microseconds(d.FlapWindow), time.Second, time.Hour},
		{"flap_hold", &s.FlapHold, microseconds(d.FlapHold), 0, time.Hour},
	}
}

func addressDurations(a *pb.Addresses) []durationField {
	d := addresses.Defaults
	return []durationField{
		{"delay_least", &a.DelayLeast, microseconds(d.MinDelay), 10 * time.Millisecond, 2 * time.Second},
		{"delay_first", &a.DelayFirst, microseconds(d.InitialDelay), 10 * time.Millisecond, 2 * time.Second},
		{"delay_most", &a.DelayMost, microseconds(d.MaxDelay), 10 * time.Millisecond, 2 * time.Second},
		{"rest_least", &a.RestLeast, microseconds(d.MinBackoff), 10 * time.Millisecond, time.Minute},
		{"rest_most", &a.RestMost, microseconds(d.MaxBackoff), 10 * time.Millisecond, 10 * time.Minute},
		{"calm", &a.Calm, microseconds(d.CalmPeriod), 0, time.Hour},
	}
}

// Effective returns a copy of the document with all defaults filled in.
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
			*f.value = durationpb.New(f.defaultValue)
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

// labelPattern matches a label of a DNS name: letters, digits, hyphens, and underscores, with which the labels of
// service names begin.
var labelPattern = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9])?$`)

// checkName returns the fault of a DNS name, or "" if it is valid.
func checkName(text string) string {
	name := strings.TrimSuffix(text, ".")
	if name == "" || len(name) > 253 {
		return "must have 1 to 253 bytes"
	}
	for l := range strings.SplitSeq(name, ".") {
		if !labelPattern.MatchString(l) {
			return fmt.Sprintf("%.64q is not a valid label of a name", l)
		}
	}
	return ""
}

// Check returns all faults of a document, up to maxFaults.
func Check(doc *pb.Settings) Faults {
	c := &checker{}
	if n := proto.Size(doc); n > maxBytes {
		c.addFault("settings", "%d bytes are more than %d", n, maxBytes)
		return c.faults
	}
	d := Effective(doc)
	c.checkDurations(d)
	c.checkSources(d.Sources)
	c.checkTeams(d.Teams)
	c.checkNames(d.Sources.Srv)
	return c.faults
}

// checker collects the faults of a document.
type checker struct{ faults Faults }

func (c *checker) addFault(path, format string, args ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, args...)})
	}
}

// checkDurations checks the bounds of each duration. If all durations of a section are within their bounds, it also
// checks their order.
func (c *checker) checkDurations(d *pb.Settings) {
	s, a := d.Sources, d.Addresses
	if c.checkBounds("sources.", sourceDurations(s)) {
		c.checkOrder("sources.", "least_lifetime", "most_lifetime", s.LeastLifetime, s.MostLifetime)
	}
	if c.checkBounds("addresses.", addressDurations(a)) {
		c.checkOrder("addresses.", "delay_least", "delay_first", a.DelayLeast, a.DelayFirst)
		c.checkOrder("addresses.", "delay_first", "delay_most", a.DelayFirst, a.DelayMost)
		c.checkOrder("addresses.", "rest_least", "rest_most", a.RestLeast, a.RestMost)
	}
}

// checkBounds reports whether all durations of a section are within their bounds.
func (c *checker) checkBounds(section string, list []durationField) bool {
	valid := true
	for _, f := range list {
		if err := (*f.value).CheckValid(); err != nil {
			c.addFault(section+f.name, "is not a valid duration")
			valid = false
		} else if v := (*f.value).AsDuration(); v < f.lower || v > f.upper {
			c.addFault(section+f.name, "%s is not within %s to %s", v, f.lower, f.upper)
			valid = false
		}
	}
	return valid
}

// checkOrder checks that the duration low is at most the duration high.
func (c *checker) checkOrder(section, low, high string, a, b *durationpb.Duration) {
	if a.AsDuration() > b.AsDuration() {
		c.addFault(section+low, "%s is more than %s, which is %s", a.AsDuration(), high, b.AsDuration())
	}
}

// checkSources checks the number of names and resolvers, the resolvers, and the counts of confirmations and flaps.
func (c *checker) checkSources(s *pb.Sources) {
	if len(s.Srv) > maxNames {
		c.addFault("sources.srv", "%d names are more than %d", len(s.Srv), maxNames)
	}
	if len(s.Resolvers) > maxResolvers {
		c.addFault("sources.resolvers", "%d are more than %d", len(s.Resolvers), maxResolvers)
	}
	if len(s.Srv) > 0 && len(s.Resolvers) == 0 {
		c.addFault("sources.resolvers", "names need at least one resolver")
	}
	for i, text := range s.Resolvers {
		path := fmt.Sprintf("sources.resolvers[%d]", i)
		if !isResolver(text) {
			c.addFault(path, "%.64q is not the IP:port of a resolver", text)
		}
		if slices.Contains(s.Resolvers[:i], text) {
			c.addFault(path, "%.64q is listed twice", text)
		}
	}
	if s.Confirmations > 100 {
		c.addFault("sources.confirmations", "%d is not within 1 to 100", s.Confirmations)
	}
	if s.Flaps > 16 {
		c.addFault("sources.flaps", "%d is not within 1 to 16", s.Flaps)
	}
}

// isResolver reports whether a text is the IP:port of a single host.
func isResolver(text string) bool {
	ap, err := netip.ParseAddrPort(text)
	return err == nil && ap.Port() != 0 && !ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast()
}

func (c *checker) checkNames(names []*pb.Srv) {
	seen := map[string]bool{}
	for i, n := range names {
		path := fmt.Sprintf("sources.srv[%d].", i)
		if fault := checkName(n.Name); fault != "" {
			c.addFault(path+"name", "%.64q: %s", n.Name, fault)
		}
		if key := CanonicalName(n.Name); seen[key] {
			c.addFault(path+"name", "%.64q is listed twice", n.Name)
		} else {
			seen[key] = true
		}
		if n.WeightUnit > 65535 {
			c.addFault(path+"weight_unit", "%d is not within 1 to 65535", n.WeightUnit)
		}
		if len(n.Places) > maxPlaces {
			c.addFault(path+"places", "%d are more than %d", len(n.Places), maxPlaces)
		}
		for j, p := range n.Places {
			if p.Suffix == "" || len(p.Suffix) > 253 {
				c.addFault(fmt.Sprintf("%splaces[%d].suffix", path, j), "must have 1 to 253 bytes")
			}
		}
		for field, text := range map[string]string{"zone": n.Zone, "kind": n.Kind} {
			if len(text) > 128 {
				c.addFault(path+field, "is longer than 128 bytes")
			}
		}
	}
}

func (c *checker) checkTeams(teams []*pb.Team) {
	if len(teams) > maxTeams {
		c.addFault("teams", "%d are more than %d", len(teams), maxTeams)
		return
	}
	seen := map[string]bool{}
	for i, team := range teams {
		path := fmt.Sprintf("teams[%d].", i)
		if team.Name == "" || len(team.Name) > maxTeamNameBytes {
			c.addFault(path+"name", "must have 1 to %d bytes", maxTeamNameBytes)
		}
		if seen[team.Name] {
			c.addFault(path+"name", "%.64q is listed twice", team.Name)
		}
		seen[team.Name] = true
		if !(team.Share >= 0 && team.Share <= 1) {
			c.addFault(path+"share", "%v is not within 0 to 1", team.Share)
		}
		if !(team.Quota >= 0 && team.Quota <= maxQuota) {
			c.addFault(path+"quota", "%v is not within 0 to %v", team.Quota, maxQuota)
		}
	}
}

// Tenants returns the teams of a document as tenants of the decision module.
func Tenants(doc *pb.Settings) []topazfall.Tenant {
	teams := make([]topazfall.Tenant, len(doc.GetTeams()))
	for i, team := range doc.GetTeams() {
		teams[i] = topazfall.Tenant{Name: team.Name, Share: team.Share, Quota: team.Quota}
	}
	return teams
}

// CanonicalName returns a DNS name in the form in which names are compared: lower case, without the final dot.
func CanonicalName(name string) string { return strings.ToLower(strings.TrimSuffix(name, ".")) }

// AddressLimits returns the limits of address selection from a document with defaults filled in.
func AddressLimits(effective *pb.Settings) addresses.Limits {
	a := effective.Addresses
	return addresses.Limits{MinDelay: a.DelayLeast.AsDuration().Microseconds(),
		InitialDelay: a.DelayFirst.AsDuration().Microseconds(), MaxDelay: a.DelayMost.AsDuration().Microseconds(),
		MinBackoff: a.RestLeast.AsDuration().Microseconds(),
		MaxBackoff: a.RestMost.AsDuration().Microseconds(), CalmPeriod: a.Calm.AsDuration().Microseconds()}
}

// MergeSettings returns the settings for merging the hosts of all sources, and the settings of each SRV name, from a
// document with defaults filled in.
func MergeSettings(effective *pb.Settings) (sources.Settings, map[string]sources.NameSettings) {
	s := effective.Sources
	names := map[string]sources.NameSettings{}
	for _, n := range s.Srv {
		places := make([]sources.Place, len(n.Places))
		for i, p := range n.Places {
			places[i] = sources.Place{Suffix: strings.TrimSuffix(strings.ToLower(p.Suffix), "."), Zone: p.Zone,
				Kind: p.Kind}
		}
		names[CanonicalName(n.Name)] = sources.NameSettings{Zone: n.Zone, Kind: n.Kind, Places: places,
			WeightUnit: int(n.WeightUnit), WithPort: n.NamedWithPort}
	}
	return sources.Settings{Hold: s.Hold.AsDuration().Microseconds(),
		DrainEvery: s.DrainEvery.AsDuration().Microseconds(), Confirmations: int(s.Confirmations), Flaps: int(s.Flaps),
		FlapWindow: s.FlapWindow.AsDuration().Microseconds(),
		FlapHold:   s.FlapHold.AsDuration().Microseconds()}, names
}
