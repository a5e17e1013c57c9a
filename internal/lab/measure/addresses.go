// Package measure runs the dispatcher and the agent against the stand-ins, one subsystem at a time, and reports the
// measurements and whether they are within their bounds.
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

// AddressOptions are the settings of Addresses.
type AddressOptions struct {
	ProgramPath string // the dispatcher's binary
	Seed        uint64
	Messages    int // over all cases
	Rate        int // messages a second
}

// The first endpoints (addresses) of each host, in the order in which a dispatcher tries them at first.
const (
	unixEndpoint = iota
	ipv4Endpoint
)

// listenAddresses are the addresses on which each host listens.
var listenAddresses = []string{"unix", "127.0.0.1:0", "[::1]:0"}

// addressCase is one case of the measurement: which addresses of the hosts have which faults, from the start or in the
// course of the load.
type addressCase struct {
	name    string
	setUp   func(s *addressScene)                      // runs before the dispatcher is started; nil for nothing
	disrupt func(ctx context.Context, s *addressScene) // runs during the load; nil for nothing
}

// addressScene is the dispatcher and its stand-ins, for one case.
type addressScene struct {
	hosts       []*host.Host
	program     *program.Process
	duration    time.Duration
	recoveredAt time.Time // when the address that was down served again
}

// setFault gives an address of all hosts a fault.
func (s *addressScene) setFault(endpoint int, fault host.Fault) {
	for _, h := range s.hosts {
		if err := h.SetFault(endpoint, fault); err != nil {
			// Without the fault every measurement would be wrong.
			panic(fmt.Sprintf("address %d: cannot set the fault %s: %v", endpoint, fault, err))
		}
	}
}

// setFaultAtStart returns a setUp that gives an address of all hosts a fault.
func setFaultAtStart(endpoint int, fault host.Fault) func(*addressScene) {
	return func(s *addressScene) { s.setFault(endpoint, fault) }
}

// addressCases are the cases in the order of the report; the first is the baseline of the bounds.
var addressCases = []addressCase{
	{name: "one good address"},
	{name: "three good addresses"},
	{name: "first refuses", setUp: setFaultAtStart(unixEndpoint, host.Refuse)},
	{name: "first is silent", setUp: func(s *addressScene) {
		s.setFault(unixEndpoint, host.Refuse)
		s.setFault(ipv4Endpoint, host.ConnectTimeout)
	}},
	{name: "only the last serves", setUp: func(s *addressScene) {
		s.setFault(unixEndpoint, host.ResetOnAccept)
		s.setFault(ipv4Endpoint, host.Refuse)
	}},
	{name: "one host resets whole requests", setUp: func(s *addressScene) {
		s.hosts[0].SetFault(unixEndpoint, host.ResetAfterRequest)
	}},
	{name: "one host resets midway", setUp: func(s *addressScene) {
		s.hosts[0].SetFault(unixEndpoint, host.ResetMidRequest)
	}},
	{name: "one host answers garbage", setUp: func(s *addressScene) {
		s.hosts[0].SetFault(unixEndpoint, host.Garbage)
	}},
	{name: "reset after the 202", setUp: setFaultAtStart(unixEndpoint, host.ResetAfterResponse)},
	{name: "first flaps every second", disrupt: func(ctx context.Context, s *addressScene) {
		for down := true; sleep(ctx, time.Second); down = !down {
			f := host.Serve
			if down {
				f = host.Refuse
			}
			s.setFault(unixEndpoint, f)
		}
	}},
	{name: "first is down for a second", disrupt: func(ctx context.Context, s *addressScene) {
		sleep(ctx, s.duration/4)
		s.setFault(unixEndpoint, host.Refuse)
		sleep(ctx, time.Second)
		s.setFault(unixEndpoint, host.Serve)
		s.recoveredAt = time.Now()
	}},
}

// sleep waits, and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// outcome is one message and its final answer.
type outcome struct {
	id, class  string
	sendOffset time.Duration // scheduled time of sending, from the start of the load
	due        time.Time     // the same as a time of day
	answer     client.Answer
}

// answerCounts counts the final answers by result.
type answerCounts struct {
	served, failed, refused int
	unanswered              int // without a final answer
	atMostOnceFailed        int // those of the failed ones that must not run twice
}

func (c *answerCounts) add(x outcome) {
	switch {
	case x.answer.Err != nil:
		c.unanswered++
	case x.answer.Status == http.StatusOK:
		c.served++
	case x.answer.Status == http.StatusServiceUnavailable || x.answer.Status == http.StatusTooManyRequests:
		c.refused++
	default:
		c.failed++
		if program.IsAtMostOnce(x.class) {
			c.atMostOnceFailed++
		}
	}
}

// addressSummary holds the values over all cases that are checked against bounds.
type addressSummary struct {
	unanswered int            // messages
	maxRuns    int            // largest number of runs of an id that must not run twice
	lostByCase map[string]int // failed messages that must not run twice, by case
	// recoveryMillis is the time in milliseconds from the recovery of an address until it was in use again.
	recoveryMillis float64
	// Times in microseconds from the scheduled sending of a message until it arrived at a host, by case. The second
	// leaves out the messages of the first second.
	reachTimes, reachTimesAfter1s map[string]*hdrhistogram.Histogram
}

// check adds the bounds to the report.
func (s *addressSummary) check(r *report.Report) {
	baseP99 := float64(s.reachTimes[addressCases[0].name].ValueAtQuantile(99)) / 1000
	p99 := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }
	const initialDelayMillis = 50 // addresses.Defaults.InitialDelay: before the second dial, without measured times
	r.AddBound("messages without a final answer", float64(s.unanswered), 0, "messages")
	r.AddBound("runs of an id that must not run twice", float64(s.maxRuns), 1, "runs")
	r.AddBound("first refuses: reach p99", p99(s.reachTimes["first refuses"]), 2*baseP99+5, "ms")
	r.AddBound("first is silent: reach p99", p99(s.reachTimes["first is silent"]), initialDelayMillis+2*baseP99+5, "ms")
	r.AddBound("first is silent, after 1 s: reach p99", p99(s.reachTimesAfter1s["first is silent"]), 2*baseP99+5, "ms")
	r.AddBound("first is down for a second: once messages failed",
		float64(s.lostByCase["first is down for a second"]), 0, "messages")
	r.AddBound("first is down for a second: in use again after", s.recoveryMillis, 2000, "ms")
	r.AddBound("one host resets whole requests: once messages failed",
		float64(s.lostByCase["one host resets whole requests"]), 5, "messages")
}

// Addresses measures how the dispatcher reaches hosts whose addresses fail. Messages are sent as a Poisson process.
// Progress is written to w.
func Addresses(ctx context.Context, o AddressOptions, w io.Writer) (*report.Report, error) {
	if o.Messages < len(addressCases) || o.Rate < 1 || o.Rate > 5000 || o.Messages > 1_000_000 {
		return nil, fmt.Errorf(
			"n is %d and rate %d: want n between %d (the number of cases) and 1000000, and a rate between 1 and 5000",
			o.Messages, o.Rate, len(addressCases))
	}
	r := report.New("addresses", o.Seed, "case", "sent", "served", "failed", "refused", "unanswered",
		"most runs of a once id", "dials per message", "reach p50 ms", "reach p99 ms", "reach max ms",
		"p99 ms after 1 s")
	random := rand.New(rand.NewPCG(o.Seed, 0))
	perCase := o.Messages / (len(addressCases) + 1) // the last case takes twice as long
	summary := addressSummary{recoveryMillis: math.Inf(1), lostByCase: map[string]int{},
		reachTimes: map[string]*hdrhistogram.Histogram{}, reachTimesAfter1s: map[string]*hdrhistogram.Histogram{}}
	for i, testCase := range addressCases {
		n := perCase
		if i == len(addressCases)-1 {
			n = o.Messages - i*perCase
		}
		fmt.Fprintf(w, "%2d of %d: %s\n", i+1, len(addressCases), testCase.name)
		scene, outcomes, dials, err := runAddressCase(ctx, o, testCase, i == 0, n, random)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", testCase.name, err)
		}
		var counts answerCounts
		maxRuns := 0
		reachTimes, reachTimesAfter1s := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
		for _, x := range outcomes {
			counts.add(x)
			runs := 0
			var firstArrival time.Time
			for _, h := range scene.hosts {
				runs += h.RunCount(x.id)
				for _, seen := range h.Arrivals(x.id) {
					if seen.Endpoint == unixEndpoint && !scene.recoveredAt.IsZero() &&
						seen.At.After(scene.recoveredAt) {
						summary.recoveryMillis = min(summary.recoveryMillis,
							float64(seen.At.Sub(scene.recoveredAt).Microseconds())/1000)
					}
					if firstArrival.IsZero() || seen.At.Before(firstArrival) {
						firstArrival = seen.At
					}
				}
			}
			if program.IsAtMostOnce(x.class) {
				maxRuns = max(maxRuns, runs)
			}
			if !firstArrival.IsZero() {
				reachMicros := max(firstArrival.Sub(x.due).Microseconds(), 1)
				reachTimes.RecordValue(reachMicros)
				if x.sendOffset > time.Second {
					reachTimesAfter1s.RecordValue(reachMicros)
				}
			}
		}
		summary.unanswered += counts.unanswered
		summary.lostByCase[testCase.name] += counts.atMostOnceFailed
		summary.maxRuns = max(summary.maxRuns, maxRuns)
		summary.reachTimes[testCase.name], summary.reachTimesAfter1s[testCase.name] = reachTimes, reachTimesAfter1s
		ms := func(us int64) float64 { return float64(us) / 1000 }
		r.AddRow(testCase.name, len(outcomes), counts.served, counts.failed, counts.refused, counts.unanswered, maxRuns,
			dials/float64(max(len(outcomes), 1)), ms(reachTimes.ValueAtQuantile(50)),
			ms(reachTimes.ValueAtQuantile(99)), ms(reachTimes.Max()), ms(reachTimesAfter1s.ValueAtQuantile(99)))
	}
	summary.check(r)
	return r, nil
}

// runAddressCase runs one case, with only one address for each host if single is set. It returns the hosts, the
// outcomes of n messages, and the number of dials.
func runAddressCase(
	ctx context.Context, o AddressOptions, testCase addressCase, single bool, n int, random *rand.Rand,
) (*addressScene, []outcome, float64, error) {
	dir, err := os.MkdirTemp("", "topazlab")
	if err != nil {
		return nil, nil, 0, err
	}
	defer os.RemoveAll(dir)
	discovery, err := discoveryserver.Start()
	if err != nil {
		return nil, nil, 0, err
	}
	defer discovery.Close()
	scene := &addressScene{duration: time.Duration(n) * time.Second / time.Duration(o.Rate)}
	for i := range 4 {
		h, err := host.Start(
			host.Options{Name: fmt.Sprintf("s-%d", i), SocketDir: dir, JobDuration: 10 * time.Millisecond},
			func(body []byte) error { return scene.program.SendCallback(body) }, listenAddresses...)
		if err != nil {
			return nil, nil, 0, err
		}
		defer h.Close()
		scene.hosts = append(scene.hosts, h)
		addresses := h.Addresses()
		if single {
			addresses = addresses[ipv4Endpoint : ipv4Endpoint+1]
		}
		discovery.Update(discoveryserver.Entry{Host: h.Name(), Addresses: addresses, Site: "hall-a", Class: "small",
			Share: 1})
	}
	if testCase.setUp != nil {
		testCase.setUp(scene)
	}
	scene.program, err = program.Start(program.Options{ProgramPath: o.ProgramPath, Dir: dir,
		Discovery: discovery.Address(), MaxSockets: 2048})
	if err != nil {
		return nil, nil, 0, err
	}
	defer scene.program.Kill()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var disruption sync.WaitGroup
	if testCase.disrupt != nil {
		disruption.Go(func() { testCase.disrupt(ctx, scene) })
	}
	outcomes := sendLoad(ctx, scene.program.Address(), n, o.Rate, random)
	cancel()
	disruption.Wait()
	metrics, err := scene.program.Metrics()
	if err != nil {
		return nil, nil, 0, err
	}
	if len(outcomes) < n {
		return nil, nil, 0, context.Canceled
	}
	return scene, outcomes, metrics["app_address_opened_total"] + metrics["app_address_failed_total"], nil
}

// sendLoad sends n messages, as a Poisson process with a mean of rate messages a second, and waits for their final
// answers. The shares of the classes and tenants are those that the operators state.
func sendLoad(ctx context.Context, addr string, n, rate int, random *rand.Rand) []outcome {
	interval := distuv.Exponential{Rate: float64(rate), Src: random}
	dispatcher := client.New(addr, fmt.Sprintf("%08x", random.Uint32()))
	outcomes := make([]outcome, n)
	start := time.Now()
	due := time.Duration(0)
	var wait sync.WaitGroup
	sent := 0
	for i := range outcomes {
		due += time.Duration(interval.Rand() * float64(time.Second))
		class, tenant := program.Classes[0], "delta-mobile"
		if p := random.Float64(); p > 0.87 {
			class = program.Classes[2]
		} else if p > 0.53 {
			class = program.Classes[1]
		}
		if random.Float64() > 0.61 {
			tenant = "sinai-tel"
		}
		if !sleep(ctx, time.Until(start.Add(due))) {
			break
		}
		sent++
		at := due
		wait.Go(func() {
			x := &outcomes[i]
			x.id, x.class, x.sendOffset, x.due = dispatcher.NextID(), class, at, start.Add(at)
			x.answer = dispatcher.Do(client.Message{ID: x.id, Class: class, Tenant: tenant, Timeout: 4 * time.Second,
				Body: []byte("x"), Hint: 10 * time.Millisecond})
		})
	}
	wait.Wait()
	return outcomes[:sent]
}
