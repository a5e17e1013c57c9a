// Package measure runs the program against the stand-ins, one subsystem at a time, and reports what it found.
package measure

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
	"topazfall/internal/lab/report"
)

// AddressOptions say how the addresses are measured.
type AddressOptions struct {
	ProgramPath string
	Seed        uint64
	Messages    int // over all cases
	Rate        int // a second
}

// The doors of each host, in the order in which they are tried while nothing is known.
const (
	doorLocal = iota
	doorFour
)

var listen = []string{"unix", "127.0.0.1:0", "[::1]:0"}

// addressCase is one way in which addresses fail, and when.
type addressCase struct {
	name  string
	begin func(s *scene)                      // before the program is started
	play  func(ctx context.Context, s *scene) // beside the load
}

// scene is the program among its stand-ins, for one case.
type scene struct {
	hosts   []*host.Host
	program *program.Process
	length  time.Duration
	back    time.Time // when an address came back
}

func (s *scene) fault(door int, f host.Fault) {
	for _, h := range s.hosts {
		if err := h.SetFault(door, f); err != nil {
			// the machine lacks something: no figure would be true
			panic(fmt.Sprintf("door %d cannot %s: %v", door, f, err))
		}
	}
}

func always(door int, f host.Fault) func(*scene) { return func(s *scene) { s.fault(door, f) } }

var addressCases = []addressCase{
	{name: "one good address"},
	{name: "three good addresses"},
	{name: "first refuses", begin: always(doorLocal, host.Refuse)},
	{name: "first is silent", begin: func(s *scene) {
		s.fault(doorLocal, host.Refuse)
		s.fault(doorFour, host.ConnectTimeout)
	}},
	{name: "only the last serves", begin: func(s *scene) {
		s.fault(doorLocal, host.ResetOnAccept)
		s.fault(doorFour, host.Refuse)
	}},
	{name: "one host resets whole requests", begin: func(s *scene) { s.hosts[0].SetFault(doorLocal, host.ResetAfterRequest) }},
	{name: "one host resets midway", begin: func(s *scene) { s.hosts[0].SetFault(doorLocal, host.ResetMidRequest) }},
	{name: "one host answers garbage", begin: func(s *scene) { s.hosts[0].SetFault(doorLocal, host.Garbage) }},
	{name: "reset after the 202", begin: always(doorLocal, host.ResetAfterResponse)},
	{name: "first flaps every second", play: func(ctx context.Context, s *scene) {
		for down := true; pause(ctx, time.Second); down = !down {
			f := host.Serve
			if down {
				f = host.Refuse
			}
			s.fault(doorLocal, f)
		}
	}},
	{name: "first is down for a second", play: func(ctx context.Context, s *scene) {
		pause(ctx, s.length/4)
		s.fault(doorLocal, host.Refuse)
		pause(ctx, time.Second)
		s.fault(doorLocal, host.Serve)
		s.back = time.Now()
	}},
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// outcome is what became of one message.
type outcome struct {
	id, class string
	at        time.Duration // after the start, when it was to be sent
	due       time.Time     // the same
	answer    client.Answer
}

// verdicts counts how requests ended.
type verdicts struct {
	served, failed, refused int
	none                    int // without a final answer
	lost                    int // of the failed ones, those that must not run twice
}

func (v *verdicts) add(x outcome) {
	switch {
	case x.answer.Err != nil:
		v.none++
	case x.answer.Status == http.StatusOK:
		v.served++
	case x.answer.Status == http.StatusServiceUnavailable || x.answer.Status == http.StatusTooManyRequests:
		v.refused++
	default:
		v.failed++
		if program.IsAtMostOnce(x.class) {
			v.lost++
		}
	}
}

// addressTally is what the bars are checked against, gathered over all cases.
type addressTally struct {
	unanswered  int            // messages
	runs        int            // most runs of one id that must not run twice
	lost        map[string]int // by case, messages that must not run twice and failed
	returned    float64        // milliseconds until the address that was down was in use again
	reach, late map[string]*hdrhistogram.Histogram
}

// check holds the tally against the bars.
func (t *addressTally) check(r *report.Report) {
	base := float64(t.reach[addressCases[0].name].ValueAtQuantile(99)) / 1000
	p99 := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }
	const delay = 50 // unmeasured, milliseconds: addresses.Defaults.DelayFirst
	r.AddBound("messages without a final answer", float64(t.unanswered), 0, "messages")
	r.AddBound("runs of an id that must not run twice", float64(t.runs), 1, "runs")
	r.AddBound("first refuses: reach p99", p99(t.reach["first refuses"]), 2*base+5, "ms")
	r.AddBound("first is silent: reach p99", p99(t.reach["first is silent"]), delay+2*base+5, "ms")
	r.AddBound("first is silent, after 1 s: reach p99", p99(t.late["first is silent"]), 2*base+5, "ms")
	r.AddBound("first is down for a second: once messages failed",
		float64(t.lost["first is down for a second"]), 0, "messages")
	r.AddBound("first is down for a second: in use again after", t.returned, 2000, "ms")
	r.AddBound("one host resets whole requests: once messages failed",
		float64(t.lost["one host resets whole requests"]), 5, "messages")
}

// Addresses measures how the program reaches hosts whose addresses fail. Arrivals are a Poisson process; progress goes
// to w.
func Addresses(ctx context.Context, o AddressOptions, w io.Writer) (*report.Report, error) {
	if o.Messages < len(addressCases) || o.Rate < 1 || o.Rate > 5000 || o.Messages > 1_000_000 {
		return nil, fmt.Errorf(
			"n is %d and rate %d: at least a message for each of %d cases, a million in all and 5,000 a second",
			o.Messages, o.Rate, len(addressCases))
	}
	r := report.New("addresses", o.Seed, "case", "sent", "served", "failed", "refused", "unanswered",
		"most runs of a once id", "dials per message", "reach p50 ms", "reach p99 ms", "reach max ms",
		"p99 ms after 1 s")
	chance := rand.New(rand.NewPCG(o.Seed, 0))
	each := o.Messages / (len(addressCases) + 1) // the last needs the time of two
	t := addressTally{returned: math.Inf(1), lost: map[string]int{},
		reach: map[string]*hdrhistogram.Histogram{}, late: map[string]*hdrhistogram.Histogram{}}
	for i, c := range addressCases {
		n := each
		if i == len(addressCases)-1 {
			n = o.Messages - i*each
		}
		fmt.Fprintf(w, "%2d of %d: %s\n", i+1, len(addressCases), c.name)
		s, outcomes, dials, err := playAddresses(ctx, o, c, i == 0, n, chance)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
		var count verdicts
		most := 0
		all, after := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
		for _, x := range outcomes {
			count.add(x)
			ran := 0
			var first time.Time
			for _, h := range s.hosts {
				ran += h.RunCount(x.id)
				for _, seen := range h.Arrivals(x.id) {
					if seen.Endpoint == doorLocal && !s.back.IsZero() && seen.At.After(s.back) {
						t.returned = min(t.returned, float64(seen.At.Sub(s.back).Microseconds())/1000)
					}
					if first.IsZero() || seen.At.Before(first) {
						first = seen.At
					}
				}
			}
			if program.IsAtMostOnce(x.class) {
				most = max(most, ran)
			}
			if !first.IsZero() {
				took := max(first.Sub(x.due).Microseconds(), 1)
				all.RecordValue(took)
				if x.at > time.Second {
					after.RecordValue(took)
				}
			}
		}
		t.unanswered += count.none
		t.lost[c.name] += count.lost
		t.runs = max(t.runs, most)
		t.reach[c.name], t.late[c.name] = all, after
		ms := func(us int64) float64 { return float64(us) / 1000 }
		r.AddRow(c.name, len(outcomes), count.served, count.failed, count.refused, count.none, most,
			dials/float64(max(len(outcomes), 1)), ms(all.ValueAtQuantile(50)), ms(all.ValueAtQuantile(99)),
			ms(all.Max()), ms(after.ValueAtQuantile(99)))
	}
	t.check(r)
	return r, nil
}

// playAddresses plays one case.
func playAddresses(
	ctx context.Context, o AddressOptions, c addressCase, single bool, n int, chance *rand.Rand,
) (*scene, []outcome, float64, error) {
	dir, err := os.MkdirTemp("", "topazlab")
	if err != nil {
		return nil, nil, 0, err
	}
	defer os.RemoveAll(dir)
	list, err := discoveryserver.Start()
	if err != nil {
		return nil, nil, 0, err
	}
	defer list.Close()
	s := &scene{length: time.Duration(n) * time.Second / time.Duration(o.Rate)}
	for i := range 4 {
		h, err := host.Start(host.Options{Name: fmt.Sprintf("s-%d", i), SocketDir: dir, JobDuration: 10 * time.Millisecond},
			func(body []byte) error { return s.program.SendCallback(body) }, listen...)
		if err != nil {
			return nil, nil, 0, err
		}
		defer h.Close()
		s.hosts = append(s.hosts, h)
		addresses := h.Addresses()
		if single {
			addresses = addresses[doorFour : doorFour+1]
		}
		list.Update(discoveryserver.Entry{Host: h.Name(), Addresses: addresses, Site: "hall-a", Class: "small", Share: 1})
	}
	if c.begin != nil {
		c.begin(s)
	}
	s.program, err = program.Start(program.Options{ProgramPath: o.ProgramPath, Dir: dir, Discovery: list.Address(), MaxSockets: 2048})
	if err != nil {
		return nil, nil, 0, err
	}
	defer s.program.Kill()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var beside sync.WaitGroup
	if c.play != nil {
		beside.Go(func() { c.play(ctx, s) })
	}
	outcomes := load(ctx, s.program.Address(), n, o.Rate, chance)
	cancel()
	beside.Wait()
	figures, err := s.program.Metrics()
	if err != nil {
		return nil, nil, 0, err
	}
	if len(outcomes) < n {
		return nil, nil, 0, context.Canceled
	}
	return s, outcomes, figures["app_address_opened_total"] + figures["app_address_failed_total"], nil
}

// load hands in n messages, as a Poisson process of that rate, and waits for their answers. The classes come in the
// shares that the operators name.
func load(ctx context.Context, addr string, n, rate int, chance *rand.Rand) []outcome {
	gap := distuv.Exponential{Rate: float64(rate), Src: chance}
	to := client.New(addr, fmt.Sprintf("%08x", chance.Uint32()))
	outcomes := make([]outcome, n)
	start := time.Now()
	due := time.Duration(0)
	var wait sync.WaitGroup
	sent := 0
	for i := range outcomes {
		due += time.Duration(gap.Rand() * float64(time.Second))
		class, tenant := program.Classes[0], "delta-mobile"
		if p := chance.Float64(); p > 0.87 {
			class = program.Classes[2]
		} else if p > 0.53 {
			class = program.Classes[1]
		}
		if chance.Float64() > 0.61 {
			tenant = "sinai-tel"
		}
		if !pause(ctx, time.Until(start.Add(due))) {
			break
		}
		sent++
		at := due
		wait.Go(func() {
			x := &outcomes[i]
			x.id, x.class, x.at, x.due = to.NextID(), class, at, start.Add(at)
			x.answer = to.Do(client.Message{ID: x.id, Class: class, Tenant: tenant, Timeout: 4 * time.Second,
				Body: []byte("x"), Hint: 10 * time.Millisecond})
		})
	}
	wait.Wait()
	return outcomes[:sent]
}
