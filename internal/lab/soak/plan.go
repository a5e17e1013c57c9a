package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
)

// Plan is what happens in a run, all of it drawn from the seed.
type Plan struct {
	Seed           uint64
	Length         time.Duration
	Processes      int
	Deadline       time.Duration // of all classes
	KeyWindow      time.Duration // of the keyed class; 0 where there is none
	Subscribe      bool          // lists must be asked for
	FullLists      bool          // all lists are whole ones
	MaxSockets     int           // descriptors of a process
	IdleClients    int           // idle clients of the first process; 0 for none
	Clients        int           // of each process
	MeanPause      time.Duration // of a client between two requests, on the mean
	WorkTimes      []time.Duration
	ProcessSteps   [][]ProcessStep // by process, one after the other
	JointSteps     []JointStep     // by time
	WorkerSteps    []WorkerStep    // by time
	DiscoverySteps []DiscoveryStep // by time
}

// Action is what is done to a process.
type Action int

// The acts.
const (
	Terminate              Action = iota // SIGTERM, the kill at the earliest moment, a start from nothing
	TerminateTwice                       // the same with a second SIGTERM
	HangupThenTerminate                  // SIGHUP just before SIGTERM
	TerminateThenHangup                  // SIGHUP just after SIGTERM
	Reload                               // SIGHUP behind SIGHUP, with another address of discovery
	Freeze                               // SIGSTOP and SIGCONT
	Replace                              // a second process takes the first one's place
	ReplaceTwice                         // a third one takes the second one's, as soon as that is ready
	TerminateDuringReplace               // SIGTERM to the first before the second is ready
	HangupDuringReplace                  // SIGHUP to both while one takes the other's place
	Kill                                 // SIGKILL without a word, a start from nothing
	acts
)

var actNames = [...]string{"end", "end twice", "hangup then end", "end then hangup", "reload", "freeze", "replace",
	"replace twice", "end mid-replace", "hangup in replace", "kill"}

func (a Action) String() string { return actNames[a] }

// ProcessStep is an act, so long after the one before it has ended.
type ProcessStep struct {
	Delay           time.Duration
	Action          Action
	SignalGap       time.Duration // between the signals of a series
	AcceptAfterTerm time.Duration // for which new connections come after SIGTERM
	FreezeOnSignal  bool          // the process stands still for a moment round each signal
}

func (s ProcessStep) String() string {
	if s.FreezeOnSignal {
		return s.Action.String() + " held"
	}
	return s.Action.String()
}

// JointStep is an act on several processes within one moment.
type JointStep struct {
	At        time.Duration
	Processes []int
	Step      ProcessStep
}

// Disruption is what is done to a worker for a while.
type Disruption int

// The troubles.
const (
	DrainWorker          Disruption = iota // it is listed as draining
	RestartWorker                          // it is taken off the list, goes, and comes back later
	FaultyWorker                           // it does what a fault says
	CloseIdleConnections                   // it closes or resets the connections that rest
)

// WorkerStep is a trouble of a worker.
type WorkerStep struct {
	At, Duration time.Duration
	Worker       int
	Disruption   Disruption
	Fault        host.Fault
	Reset        bool
}

// DiscoveryStep is a fault of discovery.
type DiscoveryStep struct {
	At, Duration time.Duration
	Fault        discoveryserver.Fault
}

// The ranges that plans are drawn from.
const (
	leastProcesses, mostProcesses = 3, 8
	leastWorkers, mostWorkers     = 4, 8
	leastClients, mostClients     = 3, 6
	shortest, longest             = 20 * time.Second, 60 * time.Second
	crowdOneIn                    = 4   // runs
	crowdSockets                  = 256 // descriptors of a process that a crowd fills
	crowdSize                     = 300
	plainSockets                  = 1024
	frozenFor                     = 150 * time.Millisecond
	thawedFor                     = 100 * time.Millisecond // between two standstills
)

// drawer draws a plan.
type drawer struct{ *rand.Rand }

// between draws a time.
func (d drawer) between(least, most time.Duration) time.Duration {
	return least + time.Duration(d.Int64N(int64(most-least)+1))
}

func (d drawer) oneIn(n int) bool { return d.IntN(n) == 0 }

// NewPlan makes the plan of a seed. most bounds its length; 0 for the full range.
func NewPlan(seed uint64, most time.Duration) Plan {
	d := drawer{rand.New(rand.NewPCG(seed, 39))}
	p := Plan{Seed: seed, Length: d.between(shortest, longest),
		Processes: leastProcesses + d.IntN(mostProcesses-leastProcesses+1),
		Deadline:  d.between(time.Second, 3*time.Second), Subscribe: d.oneIn(3), FullLists: d.oneIn(3), MaxSockets: plainSockets,
		Clients:   leastClients + d.IntN(mostClients-leastClients+1),
		MeanPause: d.between(20*time.Millisecond, 150*time.Millisecond)}
	if most > 0 {
		p.Length = min(p.Length, most)
	}
	if d.oneIn(2) {
		p.KeyWindow = d.between(300*time.Millisecond, 1500*time.Millisecond)
	}
	if d.oneIn(crowdOneIn) {
		p.MaxSockets, p.IdleClients = crowdSockets, crowdSize
	}
	for range leastWorkers + d.IntN(mostWorkers-leastWorkers+1) {
		p.WorkTimes = append(p.WorkTimes, d.between(5*time.Millisecond, 300*time.Millisecond))
	}
	for range p.Processes {
		p.ProcessSteps = append(p.ProcessSteps, d.processSteps(p.Length))
	}
	d.joint(&p)
	d.workers(&p)
	d.outages(&p)
	return p
}

func (d drawer) step() ProcessStep {
	return ProcessStep{Delay: d.between(500*time.Millisecond, 4*time.Second), Action: Action(d.IntN(int(acts))),
		SignalGap: d.between(0, 60*time.Millisecond), AcceptAfterTerm: d.between(200*time.Millisecond, 400*time.Millisecond),
		FreezeOnSignal: d.oneIn(3)}
}

func (d drawer) processSteps(length time.Duration) (steps []ProcessStep) {
	for at := time.Duration(0); at < length; at += steps[len(steps)-1].Delay {
		steps = append(steps, d.step())
	}
	return steps
}

// joint draws moments in which half of the processes or more end, or are killed.
func (d drawer) joint(p *Plan) {
	for at := d.between(3*time.Second, 15*time.Second); at < p.Length; at += d.between(10*time.Second, 25*time.Second) {
		step := d.step()
		step.Action = [...]Action{Terminate, Kill, Freeze, Reload}[d.IntN(4)]
		who := d.Perm(p.Processes)[:(p.Processes+1)/2+d.IntN(p.Processes/2)]
		p.JointSteps = append(p.JointSteps, JointStep{At: at, Processes: who, Step: step})
	}
}

// workers draws troubles of the workers but the first, so that one serves at any time.
func (d drawer) workers(p *Plan) {
	faults := []host.Fault{host.Refuse, host.ResetOnAccept, host.ResetMidRequest, host.ResetAfterRequest, host.ResetAfterResponse,
		host.Garbage, host.Hang, host.RejectJobs}
	free := make([]time.Duration, len(p.WorkTimes))
	const least, most = 300 * time.Millisecond, 2 * time.Second // between two troubles
	for at := time.Second; at < p.Length; at += d.between(least, most) {
		s := WorkerStep{At: at, Duration: d.between(time.Second, 6*time.Second), Worker: 1 + d.IntN(len(p.WorkTimes)-1),
			Disruption: Disruption(d.IntN(4)), Fault: faults[d.IntN(len(faults))], Reset: d.oneIn(2)}
		if free[s.Worker] > at {
			continue
		}
		free[s.Worker] = at + s.Duration + time.Second
		p.WorkerSteps = append(p.WorkerSteps, s)
	}
}

// outages draws faults of discovery that leave it some time between them.
func (d drawer) outages(p *Plan) {
	faults := []discoveryserver.Fault{discoveryserver.Unresponsive}
	if p.Subscribe {
		faults = []discoveryserver.Fault{discoveryserver.Unresponsive, discoveryserver.Slow, discoveryserver.Unavailable}
	}
	for at := d.between(2*time.Second, 10*time.Second); at < p.Length; at += d.between(12*time.Second, 20*time.Second) {
		p.DiscoverySteps = append(p.DiscoverySteps,
			DiscoveryStep{At: at, Duration: d.between(time.Second, 5*time.Second), Fault: faults[d.IntN(len(faults))]})
	}
}

// manner draws how a client brings its next request: mostly at once or in pieces.
func (d drawer) manner() client.Behavior {
	switch n := d.IntN(100); {
	case n < 70:
		return client.SingleWrite
	case n < 88:
		return client.SeveralWrites
	case n < 93:
		return client.CloseEarly
	case n < 95:
		return client.HalfClose
	case n < 97:
		return client.StopMidRequest
	}
	return client.TwoRequests
}

// String tells the plan, so that a run can be understood before it is played.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %v, %d processes of %d descriptors, %d clients each every %v, deadline %v, window %v, "+
		"asked %v, whole lists %v, crowd %d, %d workers\n",
		p.Seed, p.Length.Round(time.Millisecond), p.Processes, p.MaxSockets, p.Clients, p.MeanPause.Round(time.Millisecond),
		p.Deadline.Round(time.Millisecond), p.KeyWindow.Round(time.Millisecond), p.Subscribe, p.FullLists, p.IdleClients, len(p.WorkTimes))
	for i, steps := range p.ProcessSteps {
		fmt.Fprintf(&b, "  %s:", processName(i))
		for _, s := range steps {
			fmt.Fprintf(&b, " +%v %v,", s.Delay.Round(time.Millisecond), s)
		}
		b.WriteByte('\n')
	}
	for _, s := range p.JointSteps {
		fmt.Fprintf(&b, "  %v: %v of %v\n", s.At.Round(time.Millisecond), s.Step, s.Processes)
	}
	for _, s := range p.WorkerSteps {
		fmt.Fprintf(&b, "  %v for %v: %s %s\n", s.At.Round(time.Millisecond), s.Duration.Round(time.Millisecond),
			workerName(s.Worker), s.what())
	}
	for _, s := range p.DiscoverySteps {
		fmt.Fprintf(&b, "  %v for %v: discovery %s\n", s.At.Round(time.Millisecond), s.Duration.Round(time.Millisecond),
			[...]string{"well", "silent", "slow", "refusing", "crowded"}[s.Fault])
	}
	return b.String()
}

func (s WorkerStep) what() string {
	switch s.Disruption {
	case DrainWorker:
		return "drains"
	case RestartWorker:
		return "goes and returns"
	case CloseIdleConnections:
		return fmt.Sprintf("ends idle connections, by reset %v", s.Reset)
	}
	return s.Fault.String()
}

func processName(i int) string { return fmt.Sprintf("n%d", i) }

func workerName(i int) string { return fmt.Sprintf("s-%d", i) }
