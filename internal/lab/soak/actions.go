package soak

import (
	"context"
	"strings"
	"sync"
	"time"

	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
)

const (
	leastDeadline = 3 * time.Second        // that the platform counts
	killAfter     = 700 * time.Millisecond // beyond the longest deadline
	firstHangup   = time.Second            // no SIGHUP comes sooner after a process is ready
	hangups       = 3                      // of a series
)

// killTime is how long after SIGTERM the kill comes at the earliest.
func (i *installation) killTime() time.Duration {
	return max(i.plan.Deadline, leastDeadline) + killAfter
}

// act does the steps of a member one after the other.
func (m *member) act(ctx context.Context) error {
	for _, s := range m.plan.ProcessSteps[m.index] {
		if sleep(ctx, s.Delay); ctx.Err() != nil {
			return nil
		}
		if err := m.step(s); err != nil {
			return err
		}
	}
	return nil
}

// step does one step, while nobody else does anything to the member's processes.
func (m *member) step(s ProcessStep) error {
	m.acting.Lock()
	defer m.acting.Unlock()
	p := m.rig.Process(m.name)
	if p.HasExited() { // by itself
		m.ended(p)
		return m.launch(false)
	}
	switch s.Action {
	case Terminate, TerminateTwice, HangupThenTerminate, TerminateThenHangup:
		return m.endAndStart(p, s)
	case Reload:
		m.hangups(s, p)
		return nil
	case Freeze:
		held(p, func() {})
		return nil
	case Kill:
		m.kill(p)
		return m.launch(false)
	}
	return m.replace(p, s)
}

// life notes something of the life of a process.
func (m *member) life(p *program.Process, change func(l *ProcessRecord, now time.Time)) {
	m.note(func(now time.Time) { change(m.lives[p], now) })
}

// launch starts a process of the member and waits until it is ready.
func (m *member) launch(successor bool) error {
	l := &ProcessRecord{Process: m.name, Started: time.Now(), Successor: successor}
	err := m.rig.Restart(m.name)
	if err != nil {
		return err
	}
	l.Ready = time.Now()
	m.note(func(time.Time) { m.lives[m.rig.Process(m.name)] = l })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closedFor = time.Time{}
	return nil
}

// held does something while a process stands still, as one that is off its core does for a moment, and lets it run
// again before anything else can hold it: the operators' bounds allow for one such moment, not for two in a row. One
// that has ended does not mind.
func held(p *program.Process, do func()) {
	p.Freeze()
	do()
	time.Sleep(frozenFor)
	p.Thaw()
	time.Sleep(thawedFor)
}

// signal sends a process a signal, as the step says.
func (s ProcessStep) signal(p *program.Process, send func()) {
	if s.FreezeOnSignal {
		held(p, send)
		return
	}
	send()
}

// terminate tells a process to end.
func (m *member) terminate(p *program.Process, s ProcessStep) {
	s.signal(p, func() {
		m.life(p, func(l *ProcessRecord, now time.Time) {
			if l.Terminated.IsZero() {
				l.Terminated = now
			}
		})
		p.Terminate()
	})
}

// hangup tells a process to read its configuration again, which names the other address of discovery.
func (m *member) hangup(p *program.Process, s ProcessStep) {
	ready := time.Time{}
	m.life(p, func(l *ProcessRecord, _ time.Time) { ready = l.Ready })
	time.Sleep(time.Until(ready.Add(firstHangup)))
	p.Configure(func(config map[string]any) {
		config["discovery"] = m.otherDoor(config["discovery"].(string))
	})
	s.signal(p, func() {
		m.life(p, func(l *ProcessRecord, now time.Time) { l.DiscoveryMoves = append(l.DiscoveryMoves, now) })
		p.Reload()
	})
}

func (m *member) otherDoor(address string) string {
	if address == m.doors[0].Address() {
		return m.doors[1].Address()
	}
	return m.doors[0].Address()
}

// hangups sends a series of SIGHUP to processes.
func (m *member) hangups(s ProcessStep, processes ...*program.Process) {
	for range hangups {
		for _, p := range processes {
			m.hangup(p, s)
		}
		time.Sleep(s.SignalGap)
	}
}

// endAndStart ends a process as a planned restart does, and starts one from nothing.
func (m *member) endAndStart(p *program.Process, s ProcessStep) error {
	if s.Action == HangupThenTerminate {
		m.hangup(p, s)
	}
	m.mu.Lock()
	m.closedFor = time.Now().Add(s.AcceptAfterTerm)
	m.mu.Unlock()
	m.terminate(p, s)
	time.Sleep(s.SignalGap)
	switch s.Action {
	case TerminateTwice:
		m.terminate(p, s)
	case TerminateThenHangup:
		m.hangup(p, s)
	}
	m.awaitEnd(p)
	return m.launch(false)
}

// awaitEnd waits for the end of a process that was told to end, and kills it at the earliest moment.
func (m *member) awaitEnd(p *program.Process) {
	told := time.Time{}
	m.life(p, func(l *ProcessRecord, _ time.Time) { told = l.Terminated })
	if p.Wait(time.Until(told.Add(m.killTime()))) != nil {
		m.kill(p)
		return
	}
	m.ended(p)
}

// kill kills a process.
func (m *member) kill(p *program.Process) {
	if p.HasExited() {
		m.ended(p)
		return
	}
	m.life(p, func(l *ProcessRecord, now time.Time) { l.Killed = now })
	p.Kill()
	m.ended(p)
}

// ended notes how a process ended.
func (m *member) ended(p *program.Process) {
	m.life(p, func(l *ProcessRecord, now time.Time) {
		l.Ended, l.ExitCode, l.CrashLine = now, p.ExitCode(), fatal(p.Log())
	})
}

// fatal is the line of a log that tells of a crash, if one does.
func fatal(log string) string {
	for line := range strings.Lines(log) {
		for _, sign := range []string{"panic:", "fatal error:", "SIGABRT", "DATA RACE"} {
			if strings.Contains(line, sign) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}

// replace has other processes take the place of one, as the act says, and ends all but the last.
func (m *member) replace(p *program.Process, s ProcessStep) error {
	var leaving sync.WaitGroup
	end := func(p *program.Process) {
		m.terminate(p, s)
		leaving.Go(func() { m.awaitEnd(p) })
	}
	switch s.Action {
	case TerminateDuringReplace:
		leaving.Go(func() {
			time.Sleep(s.SignalGap)
			m.terminate(p, s)
		})
	case HangupDuringReplace:
		m.hangup(p, s)
	}
	if err := m.launch(true); err != nil {
		return err
	}
	second := m.rig.Process(m.name)
	switch s.Action {
	case HangupDuringReplace:
		m.hangups(s, p, second)
	case ReplaceTwice:
		if err := m.launch(true); err != nil {
			return err
		}
		end(second)
	}
	end(p)
	leaving.Wait()
	return nil
}

// joint does the joint steps of the plan.
func (i *installation) joint(ctx context.Context) error {
	began := time.Now()
	for _, j := range i.plan.JointSteps {
		if sleep(ctx, time.Until(began.Add(j.At))); ctx.Err() != nil {
			return nil
		}
		faults := make(chan error, len(j.Processes))
		for _, k := range j.Processes {
			go func() { faults <- i.members[k].step(j.Step) }()
		}
		for range j.Processes {
			if err := <-faults; err != nil {
				return err
			}
		}
	}
	return nil
}

// trouble does the steps of the workers.
func (i *installation) trouble(ctx context.Context) error {
	began := time.Now()
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, s := range i.plan.WorkerSteps {
		if sleep(ctx, time.Until(began.Add(s.At))); ctx.Err() != nil {
			return nil
		}
		wait.Go(func() { i.troubled(ctx, s) })
	}
	return nil
}

// troubled does one step of a worker, to its end.
func (i *installation) troubled(ctx context.Context, s WorkerStep) {
	h := i.workers[s.Worker]
	switch s.Disruption {
	case DrainWorker:
		i.listed(s.Worker, "draining", time.Time{})
		sleep(ctx, s.Duration)
		i.listed(s.Worker, "up", time.Time{})
	case RestartWorker:
		i.listed(s.Worker, "removed", time.Time{})
		h.Crash(onAddress)
		sleep(ctx, s.Duration)
		h.SetFault(onAddress, host.Serve)
		i.listed(s.Worker, "up", time.Now())
	case CloseIdleConnections:
		h.CloseIdle(onAddress, s.Reset)
	case FaultyWorker:
		if s.Fault == host.Refuse {
			h.Crash(onAddress)
		} else {
			h.SetFault(onAddress, s.Fault)
		}
		sleep(ctx, s.Duration)
		h.SetFault(onAddress, host.Serve)
	}
}

// outages does the faults of discovery.
func (i *installation) outages(ctx context.Context) error {
	began := time.Now()
	for _, s := range i.plan.DiscoverySteps {
		if sleep(ctx, time.Until(began.Add(s.At))); ctx.Err() != nil {
			return nil
		}
		from := time.Now()
		i.list.SetFault(s.Fault)
		sleep(ctx, s.Duration)
		i.list.SetFault(discoveryserver.NoFault)
		i.note(func(now time.Time) { i.history.Outages = append(i.history.Outages, Outage{from, now}) })
	}
	return nil
}
