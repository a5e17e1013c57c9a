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
	Seed      uint64
	Length    time.Duration
	Processes int
	Deadline  time.Duration // of all classes
	Window    time.Duration // of the keyed class; 0 where there is none
	Asked     bool          // lists must be asked for
	Whole     bool          // all lists are whole ones
	Sockets   int           // descriptors of a process
	Crowd     int           // idle clients of the first process; 0 for none
	Clients   int           // of each process
	Pause     time.Duration // of a client between two requests, on the mean
	Work      []time.Duration
	Dispatch  [][]ProcessStep // by process, one after the other
	Joint     []JointStep     // by time
	Workers   []WorkerStep    // by time
	Discovery []DiscoveryStep // by time
}

// Act is what is done to a process.
type Act int

// The acts.
const (
	End             Act = iota // SIGTERM, the kill at the earliest moment, a start from nothing
	EndTwice                   // the same with a second SIGTERM
	HangupThenEnd              // SIGHUP just before SIGTERM
	EndThenHangup              // SIGHUP just after SIGTERM
	Reload                     // SIGHUP behind SIGHUP, with another address of discovery
	Freeze                     // SIGSTOP and SIGCONT
	Replace                    // a second process takes the first one's place
	ReplaceTwice               // a third one takes the second one's, as soon as that is ready
	EndMidReplace              // SIGTERM to the first before the second is ready
	HangupInReplace            // SIGHUP to both while one takes the other's place
	KillAtOnce                 // SIGKILL without a word, a start from nothing
	acts
)

var actNames = [...]string{"end", "end twice", "hangup then end", "end then hangup", "reload", "freeze", "replace",
	"replace twice", "end mid-replace", "hangup in replace", "kill"}

func (a Act) String() string { return actNames[a] }

// ProcessStep is an act, so long after the one before it has ended.
type ProcessStep struct {
	After time.Duration
	Act   Act
	Gap   time.Duration // between the signals of a series
	Late  time.Duration // for which new connections come after SIGTERM
	Held  bool          // the process stands still for a moment round each signal
}

func (s ProcessStep) String() string {
	if s.Held {
		return s.Act.String() + " held"
	}
	return s.Act.String()
}

// JointStep is an act on several processes within one moment.
type JointStep struct {
	At        time.Duration
	Processes []int
	Step      ProcessStep
}

// Trouble is what is done to a worker for a while.
type Trouble int

// The troubles.
const (
	Drains   Trouble = iota // it is listed as draining
	Returns                 // it is taken off the list, goes, and comes back later
	Faulty                  // it does what a fault says
	EndsIdle                // it closes or resets the connections that rest
)

// WorkerStep is a trouble of a worker.
type WorkerStep struct {
	At, For time.Duration
	Worker  int
	Trouble Trouble
	Fault   host.Fault
	Resets  bool
}

// DiscoveryStep is a fault of discovery.
type DiscoveryStep struct {
	At, For time.Duration
	Fault   discoveryserver.Fault
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

// Draw makes the plan of a seed. most bounds its length; 0 for the full range.
func Draw(seed uint64, most time.Duration) Plan {
	d := drawer{rand.New(rand.NewPCG(seed, 39))}
	p := Plan{Seed: seed, Length: d.between(shortest, longest),
		Processes: leastProcesses + d.IntN(mostProcesses-leastProcesses+1),
		Deadline:  d.between(time.Second, 3*time.Second), Asked: d.oneIn(3), Whole: d.oneIn(3), Sockets: plainSockets,
		Clients: leastClients + d.IntN(mostClients-leastClients+1),
		Pause:   d.between(20*time.Millisecond, 150*time.Millisecond)}
	if most > 0 {
		p.Length = min(p.Length, most)
	}
	if d.oneIn(2) {
		p.Window = d.between(300*time.Millisecond, 1500*time.Millisecond)
	}
	if d.oneIn(crowdOneIn) {
		p.Sockets, p.Crowd = crowdSockets, crowdSize
	}
	for range leastWorkers + d.IntN(mostWorkers-leastWorkers+1) {
		p.Work = append(p.Work, d.between(5*time.Millisecond, 300*time.Millisecond))
	}
	for range p.Processes {
		p.Dispatch = append(p.Dispatch, d.processSteps(p.Length))
	}
	d.joint(&p)
	d.workers(&p)
	d.outages(&p)
	return p
}

func (d drawer) step() ProcessStep {
	return ProcessStep{After: d.between(500*time.Millisecond, 4*time.Second), Act: Act(d.IntN(int(acts))),
		Gap: d.between(0, 60*time.Millisecond), Late: d.between(200*time.Millisecond, 400*time.Millisecond),
		Held: d.oneIn(3)}
}

func (d drawer) processSteps(length time.Duration) (steps []ProcessStep) {
	for at := time.Duration(0); at < length; at += steps[len(steps)-1].After {
		steps = append(steps, d.step())
	}
	return steps
}

// joint draws moments in which half of the processes or more end, or are killed.
func (d drawer) joint(p *Plan) {
	for at := d.between(3*time.Second, 15*time.Second); at < p.Length; at += d.between(10*time.Second, 25*time.Second) {
		step := d.step()
		step.Act = [...]Act{End, KillAtOnce, Freeze, Reload}[d.IntN(4)]
		who := d.Perm(p.Processes)[:(p.Processes+1)/2+d.IntN(p.Processes/2)]
		p.Joint = append(p.Joint, JointStep{At: at, Processes: who, Step: step})
	}
}

// workers draws troubles of the workers but the first, so that one serves at any time.
func (d drawer) workers(p *Plan) {
	faults := []host.Fault{host.Refuse, host.ResetUnread, host.ResetMidway, host.ResetWhole, host.ResetAccepted,
		host.Garbage, host.Hang, host.TurnAway}
	free := make([]time.Duration, len(p.Work))
	const least, most = 300 * time.Millisecond, 2 * time.Second // between two troubles
	for at := time.Second; at < p.Length; at += d.between(least, most) {
		s := WorkerStep{At: at, For: d.between(time.Second, 6*time.Second), Worker: 1 + d.IntN(len(p.Work)-1),
			Trouble: Trouble(d.IntN(4)), Fault: faults[d.IntN(len(faults))], Resets: d.oneIn(2)}
		if free[s.Worker] > at {
			continue
		}
		free[s.Worker] = at + s.For + time.Second
		p.Workers = append(p.Workers, s)
	}
}

// outages draws faults of discovery that leave it some time between them.
func (d drawer) outages(p *Plan) {
	faults := []discoveryserver.Fault{discoveryserver.Silent}
	if p.Asked {
		faults = []discoveryserver.Fault{discoveryserver.Silent, discoveryserver.Slow, discoveryserver.Refuse}
	}
	for at := d.between(2*time.Second, 10*time.Second); at < p.Length; at += d.between(12*time.Second, 20*time.Second) {
		p.Discovery = append(p.Discovery,
			DiscoveryStep{At: at, For: d.between(time.Second, 5*time.Second), Fault: faults[d.IntN(len(faults))]})
	}
}

// manner draws how a client brings its next request: mostly at once or in pieces.
func (d drawer) manner() client.Manner {
	switch n := d.IntN(100); {
	case n < 70:
		return client.AtOnce
	case n < 88:
		return client.InPieces
	case n < 93:
		return client.Leaving
	case n < 95:
		return client.HalfClosing
	case n < 97:
		return client.StopMidway
	}
	return client.Doubled
}

// String tells the plan, so that a run can be understood before it is played.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %v, %d processes of %d descriptors, %d clients each every %v, deadline %v, window %v, "+
		"asked %v, whole lists %v, crowd %d, %d workers\n",
		p.Seed, p.Length.Round(time.Millisecond), p.Processes, p.Sockets, p.Clients, p.Pause.Round(time.Millisecond),
		p.Deadline.Round(time.Millisecond), p.Window.Round(time.Millisecond), p.Asked, p.Whole, p.Crowd, len(p.Work))
	for i, steps := range p.Dispatch {
		fmt.Fprintf(&b, "  %s:", processName(i))
		for _, s := range steps {
			fmt.Fprintf(&b, " +%v %v,", s.After.Round(time.Millisecond), s)
		}
		b.WriteByte('\n')
	}
	for _, s := range p.Joint {
		fmt.Fprintf(&b, "  %v: %v of %v\n", s.At.Round(time.Millisecond), s.Step, s.Processes)
	}
	for _, s := range p.Workers {
		fmt.Fprintf(&b, "  %v for %v: %s %s\n", s.At.Round(time.Millisecond), s.For.Round(time.Millisecond),
			workerName(s.Worker), s.what())
	}
	for _, s := range p.Discovery {
		fmt.Fprintf(&b, "  %v for %v: discovery %s\n", s.At.Round(time.Millisecond), s.For.Round(time.Millisecond),
			[...]string{"well", "silent", "slow", "refusing", "crowded"}[s.Fault])
	}
	return b.String()
}

func (s WorkerStep) what() string {
	switch s.Trouble {
	case Drains:
		return "drains"
	case Returns:
		return "goes and returns"
	case EndsIdle:
		return fmt.Sprintf("ends idle connections, by reset %v", s.Resets)
	}
	return s.Fault.String()
}

func processName(i int) string { return fmt.Sprintf("n%d", i) }

func workerName(i int) string { return fmt.Sprintf("s-%d", i) }
