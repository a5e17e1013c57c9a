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

// Plan describes everything that happens in a run. It depends on the seed alone.
type Plan struct {
	Seed           uint64
	Length         time.Duration
	Processes      int
	Deadline       time.Duration   // of all classes
	KeyWindow      time.Duration   // in which requests of the keyed class may be repeated, 0 for no keyed class
	Subscribe      bool            // the dispatchers must request the worker list
	FullLists      bool            // discovery sends full lists only, no changes
	MaxSockets     int             // limit on the sockets of a process
	IdleClients    int             // of the first process, 0 for none
	Clients        int             // of each process
	MeanPause      time.Duration   // of a client between two requests
	WorkTimes      []time.Duration // duration of a job, by worker
	ProcessSteps   [][]ProcessStep // by process, in order
	JointSteps     []JointStep     // in order of time
	WorkerSteps    []WorkerStep    // in order of time
	DiscoverySteps []DiscoveryStep // in order of time
	Dispatchers    int             // in the settings; at least Processes
	Deploys        Deploys
}

// Action is what is done to a dispatcher process.
type Action int

// The actions. A fresh start is a start without a predecessor that hands over.
const (
	Terminate              Action = iota // SIGTERM, a kill after killTime if it still runs, a fresh start
	TerminateTwice                       // the same with a second SIGTERM
	HangupThenTerminate                  // SIGHUP just before SIGTERM
	TerminateThenHangup                  // SIGHUP just after SIGTERM
	Reload                               // a series of SIGHUP, each with the other discovery address
	Freeze                               // SIGSTOP and SIGCONT
	Replace                              // a second process takes over from the first
	ReplaceTwice                         // a third one takes over from the second as soon as that is ready
	TerminateDuringReplace               // SIGTERM to the first process before the second is ready
	HangupDuringReplace                  // SIGHUP to both processes while one takes over from the other
	Kill                                 // SIGKILL without a SIGTERM before, a fresh start
	actionCount
)

var actionNames = [...]string{"end", "end twice", "hangup then end", "end then hangup", "reload", "freeze", "replace",
	"replace twice", "end mid-replace", "hangup in replace", "kill"}

func (a Action) String() string { return actionNames[a] }

// ProcessStep is an action on one process. It begins Delay after the previous step has ended.
type ProcessStep struct {
	Delay           time.Duration
	Action          Action
	SignalGap       time.Duration // between the signals of a series
	AcceptAfterTerm time.Duration // how long clients still open new connections after SIGTERM
	FreezeOnSignal  bool          // the process is frozen for a moment around each signal
}

func (s ProcessStep) String() string {
	if s.FreezeOnSignal {
		return s.Action.String() + " held"
	}
	return s.Action.String()
}

// JointStep is an action on several processes at the same time.
type JointStep struct {
	At        time.Duration
	Processes []int
	Step      ProcessStep
}

// Disruption is what is done to a worker for some time.
type Disruption int

// The disruptions.
const (
	DrainWorker          Disruption = iota // the worker is listed as draining
	RestartWorker                          // it is removed from the list, crashes, and comes back later
	FaultyWorker                           // it has the fault WorkerStep.Fault
	CloseIdleConnections                   // it closes or resets its idle connections
)

// WorkerStep is a disruption of a worker.
type WorkerStep struct {
	At, Duration time.Duration
	Worker       int
	Disruption   Disruption
	Fault        host.Fault // of FaultyWorker
	Reset        bool       // CloseIdleConnections resets the connections instead of closing them
}

// DiscoveryStep is a fault of the discovery server for some time.
type DiscoveryStep struct {
	At, Duration time.Duration
	Fault        discoveryserver.Fault
}

// The ranges and limits that plans are drawn from.
const (
	minProcesses, maxProcesses = 3, 8
	minWorkers, maxWorkers     = 4, 8
	minClients, maxClients     = 3, 6
	minRunLength, maxRunLength = 20 * time.Second, 60 * time.Second
	idleClientsOneIn           = 4   // one run in this many has idle clients
	idleClientsMaxSockets      = 256 // sockets limit of a process, which the idle clients exhaust
	idleClientCount            = 300
	defaultMaxSockets          = 1024
	freezeTime                 = 150 * time.Millisecond // for which a process stays frozen
	thawTime                   = 100 * time.Millisecond // at least, between two freezes of a process
)

// generator draws plans and requests from a seeded random source. The order of the draws must stay as it is: a seed has
// to give the same plan again.
type generator struct{ *rand.Rand }

// between draws a duration from minimum to maximum, both included.
func (g generator) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(g.Int64N(int64(maximum-minimum)+1))
}

func (g generator) oneIn(n int) bool { return g.IntN(n) == 0 }

// NewPlan draws the plan of a seed. maxLength limits the length of the run, 0 for no limit below maxRunLength.
func NewPlan(seed uint64, maxLength time.Duration) Plan {
	g := generator{rand.New(rand.NewPCG(seed, 39))}
	p := Plan{Seed: seed, Length: g.between(minRunLength, maxRunLength),
		Processes: minProcesses + g.IntN(maxProcesses-minProcesses+1),
		Deadline:  g.between(time.Second, 3*time.Second), Subscribe: g.oneIn(3), FullLists: g.oneIn(3),
		MaxSockets: defaultMaxSockets,
		Clients:    minClients + g.IntN(maxClients-minClients+1),
		MeanPause:  g.between(20*time.Millisecond, 150*time.Millisecond)}
	if maxLength > 0 {
		p.Length = min(p.Length, maxLength)
	}
	if g.oneIn(2) {
		p.KeyWindow = g.between(300*time.Millisecond, 1500*time.Millisecond)
	}
	if g.oneIn(idleClientsOneIn) {
		p.MaxSockets, p.IdleClients = idleClientsMaxSockets, idleClientCount
	}
	for range minWorkers + g.IntN(maxWorkers-minWorkers+1) {
		p.WorkTimes = append(p.WorkTimes, g.between(5*time.Millisecond, 300*time.Millisecond))
	}
	for range p.Processes {
		p.ProcessSteps = append(p.ProcessSteps, g.processSteps(p.Length))
	}
	g.drawJointSteps(&p)
	g.drawWorkerSteps(&p)
	g.drawDiscoverySteps(&p)
	drawDeploys(&p)
	return p
}

func (g generator) processStep() ProcessStep {
	return ProcessStep{Delay: g.between(500*time.Millisecond, 4*time.Second), Action: Action(g.IntN(int(actionCount))),
		SignalGap:       g.between(0, 60*time.Millisecond),
		AcceptAfterTerm: g.between(200*time.Millisecond, 400*time.Millisecond), FreezeOnSignal: g.oneIn(3)}
}

func (g generator) processSteps(length time.Duration) (steps []ProcessStep) {
	for at := time.Duration(0); at < length; at += steps[len(steps)-1].Delay {
		steps = append(steps, g.processStep())
	}
	return steps
}

// drawJointSteps draws the times at which half of the processes or more are terminated, killed, frozen or reloaded
// together.
func (g generator) drawJointSteps(p *Plan) {
	for at := g.between(3*time.Second, 15*time.Second); at < p.Length; at += g.between(10*time.Second, 25*time.Second) {
		step := g.processStep()
		step.Action = [...]Action{Terminate, Kill, Freeze, Reload}[g.IntN(4)]
		processes := g.Perm(p.Processes)[:(p.Processes+1)/2+g.IntN(p.Processes/2)]
		p.JointSteps = append(p.JointSteps, JointStep{At: at, Processes: processes, Step: step})
	}
}

// drawWorkerSteps draws disruptions of all workers but the first, so that at least one worker serves at any time.
func (g generator) drawWorkerSteps(p *Plan) {
	faults := []host.Fault{host.Refuse, host.ResetOnAccept, host.ResetMidRequest, host.ResetAfterRequest,
		host.ResetAfterResponse, host.Garbage, host.Hang, host.RejectJobs}
	availableAt := make([]time.Duration, len(p.WorkTimes))
	const minInterval, maxInterval = 300 * time.Millisecond, 2 * time.Second // between two disruptions
	for at := time.Second; at < p.Length; at += g.between(minInterval, maxInterval) {
		s := WorkerStep{At: at, Duration: g.between(time.Second, 6*time.Second),
			Worker: 1 + g.IntN(len(p.WorkTimes)-1), Disruption: Disruption(g.IntN(4)),
			Fault: faults[g.IntN(len(faults))], Reset: g.oneIn(2)}
		if availableAt[s.Worker] > at {
			continue
		}
		availableAt[s.Worker] = at + s.Duration + time.Second
		p.WorkerSteps = append(p.WorkerSteps, s)
	}
}

// drawDiscoverySteps draws faults of discovery, with times between them in which it works.
func (g generator) drawDiscoverySteps(p *Plan) {
	faults := []discoveryserver.Fault{discoveryserver.Unresponsive}
	if p.Subscribe {
		faults = []discoveryserver.Fault{discoveryserver.Unresponsive, discoveryserver.Slow,
			discoveryserver.Unavailable}
	}
	for at := g.between(2*time.Second, 10*time.Second); at < p.Length; at += g.between(12*time.Second, 20*time.Second) {
		p.DiscoverySteps = append(p.DiscoverySteps,
			DiscoveryStep{At: at, Duration: g.between(time.Second, 5*time.Second),
				Fault: faults[g.IntN(len(faults))]})
	}
}

// clientBehavior draws how a client sends its next request: mostly in one write or in several.
func (g generator) clientBehavior() client.Behavior {
	switch n := g.IntN(100); {
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

// String describes the plan, so that it is known before the run what will happen in it.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %v, %d processes of %d descriptors, %d clients each every %v, deadline %v, window %v, "+
		"asked %v, whole lists %v, crowd %d, %d workers\n",
		p.Seed, p.Length.Round(time.Millisecond), p.Processes, p.MaxSockets, p.Clients,
		p.MeanPause.Round(time.Millisecond), p.Deadline.Round(time.Millisecond), p.KeyWindow.Round(time.Millisecond),
		p.Subscribe, p.FullLists, p.IdleClients, len(p.WorkTimes))
	fmt.Fprintf(&b, "  of %d dispatchers; %v\n", p.Dispatchers, p.Deploys)
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
			workerName(s.Worker), s.describe())
	}
	for _, s := range p.DiscoverySteps {
		fmt.Fprintf(&b, "  %v for %v: discovery %s\n", s.At.Round(time.Millisecond), s.Duration.Round(time.Millisecond),
			[...]string{"well", "silent", "slow", "refusing", "crowded"}[s.Fault])
	}
	return b.String()
}

func (s WorkerStep) describe() string {
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
