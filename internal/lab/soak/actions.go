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
	minPlatformDeadline = 3 * time.Second        // assumed by the platform where all deadlines are shorter
	killGrace           = 700 * time.Millisecond // from the longest deadline to the kill
	minHangupDelay      = time.Second            // from the time a process is ready to its first SIGHUP
	hangupCount         = 3                      // SIGHUPs in a series
)

// killTime returns the shortest time from SIGTERM to the kill.
func (inst *installation) killTime() time.Duration {
	return max(inst.plan.Deadline, minPlatformDeadline) + killGrace
}

// runSteps runs the steps of a member one after the other.
func (m *member) runSteps(ctx context.Context) error {
	for _, s := range m.plan.ProcessSteps[m.index] {
		if sleep(ctx, s.Delay); ctx.Err() != nil {
			return nil
		}
		if err := m.runStep(s); err != nil {
			return err
		}
	}
	return nil
}

// runStep runs one step. No other step acts on the member's processes at the same time.
func (m *member) runStep(s ProcessStep) error {
	m.stepMutex.Lock()
	defer m.stepMutex.Unlock()
	p := m.rig.Process(m.name)
	if p.HasExited() { // by itself
		m.recordExit(p)
		return m.startProcess(false)
	}
	switch s.Action {
	case Terminate, TerminateTwice, HangupThenTerminate, TerminateThenHangup:
		return m.restart(p, s)
	case Reload:
		m.sendHangups(s, p)
		return nil
	case Freeze:
		whileFrozen(p, func() {})
		return nil
	case Kill:
		m.kill(p)
		return m.startProcess(false)
	}
	return m.replace(p, s)
}

// updateRecord changes the record of a process.
func (m *member) updateRecord(p *program.Process, change func(r *ProcessRecord, now time.Time)) {
	m.record(func(now time.Time) { change(m.processes[p], now) })
}

// startProcess starts a process of the member and waits until it is ready.
func (m *member) startProcess(successor bool) error {
	record := &ProcessRecord{Process: m.name, Started: time.Now(), Successor: successor}
	err := m.rig.Restart(m.name)
	if err != nil {
		return err
	}
	record.Ready = time.Now()
	m.record(func(time.Time) { m.processes[m.rig.Process(m.name)] = record })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connectableUntil = time.Time{}
	return nil
}

// whileFrozen calls do while a process is frozen, as if it got no CPU for a moment. Then it lets the process run for
// some time before it can be frozen again: the operators' limits allow for one such pause, but not for two in a row. A
// process that has exited, or does not stop, is not held up.
func whileFrozen(p *program.Process, do func()) {
	frozen := p.Freeze() == nil
	do()
	if frozen {
		time.Sleep(freezeTime)
	}
	p.Thaw()
	time.Sleep(thawTime)
}

// sendSignal calls send, which signals the process. If FreezeOnSignal is set, the process is frozen
// meanwhile.
func (s ProcessStep) sendSignal(p *program.Process, send func()) {
	if s.FreezeOnSignal {
		whileFrozen(p, send)
		return
	}
	send()
}

// terminate sends SIGTERM to a process.
func (m *member) terminate(p *program.Process, s ProcessStep) {
	s.sendSignal(p, func() {
		m.updateRecord(p, func(r *ProcessRecord, now time.Time) {
			if r.Terminated.IsZero() {
				r.Terminated = now
			}
		})
		p.Terminate()
	})
}

// sendHangup changes the discovery address in a process's configuration and sends SIGHUP, so that the process reads it.
func (m *member) sendHangup(p *program.Process, s ProcessStep) {
	ready := time.Time{}
	m.updateRecord(p, func(r *ProcessRecord, _ time.Time) { ready = r.Ready })
	time.Sleep(time.Until(ready.Add(minHangupDelay)))
	p.Configure(func(config map[string]any) {
		config["discovery"] = m.otherEndpoint(config["discovery"].(string))
	})
	s.sendSignal(p, func() {
		m.updateRecord(p, func(r *ProcessRecord, now time.Time) { r.DiscoveryMoves = append(r.DiscoveryMoves, now) })
		p.Reload()
	})
}

func (m *member) otherEndpoint(address string) string {
	own := m.endpoints[m.index]
	if address == own[0].Address() {
		return own[1].Address()
	}
	return own[0].Address()
}

// sendHangups sends a series of SIGHUPs to each process.
func (m *member) sendHangups(s ProcessStep, processes ...*program.Process) {
	for range hangupCount {
		for _, p := range processes {
			m.sendHangup(p, s)
		}
		time.Sleep(s.SignalGap)
	}
}

// restart terminates a process as in a planned restart, and starts a new one after it has exited.
func (m *member) restart(p *program.Process, s ProcessStep) error {
	if s.Action == HangupThenTerminate {
		m.sendHangup(p, s)
	}
	m.mu.Lock()
	m.connectableUntil = time.Now().Add(s.AcceptAfterTerm)
	m.mu.Unlock()
	m.terminate(p, s)
	time.Sleep(s.SignalGap)
	switch s.Action {
	case TerminateTwice:
		m.terminate(p, s)
	case TerminateThenHangup:
		m.sendHangup(p, s)
	}
	m.awaitExit(p)
	return m.startProcess(false)
}

// awaitExit waits for a terminated process to exit, and kills it if it has not exited killTime after SIGTERM.
func (m *member) awaitExit(p *program.Process) {
	terminated := time.Time{}
	m.updateRecord(p, func(r *ProcessRecord, _ time.Time) { terminated = r.Terminated })
	if p.Wait(time.Until(terminated.Add(m.killTime()))) != nil {
		m.kill(p)
		return
	}
	m.recordExit(p)
}

// kill kills a process and records that, unless it has already exited.
func (m *member) kill(p *program.Process) {
	if p.HasExited() {
		m.recordExit(p)
		return
	}
	m.updateRecord(p, func(r *ProcessRecord, now time.Time) { r.Killed = now })
	p.Kill()
	m.recordExit(p)
}

// recordExit records when and how a process exited.
func (m *member) recordExit(p *program.Process) {
	m.updateRecord(p, func(r *ProcessRecord, now time.Time) {
		r.Ended, r.ExitCode, r.CrashLine = now, p.ExitCode(), crashLine(p.Log())
	})
}

// crashLine returns the first line of a log that shows a crash, or "".
func crashLine(log string) string {
	for line := range strings.Lines(log) {
		for _, marker := range []string{"panic:", "fatal error:", "SIGABRT", "DATA RACE"} {
			if strings.Contains(line, marker) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}

// replace starts one successor of a process, or two for ReplaceTwice, and terminates all processes but the last.
func (m *member) replace(p *program.Process, s ProcessStep) error {
	var exits sync.WaitGroup
	terminate := func(p *program.Process) {
		m.terminate(p, s)
		exits.Go(func() { m.awaitExit(p) })
	}
	switch s.Action {
	case TerminateDuringReplace:
		exits.Go(func() {
			time.Sleep(s.SignalGap)
			m.terminate(p, s)
		})
	case HangupDuringReplace:
		m.sendHangup(p, s)
	}
	if err := m.startProcess(true); err != nil {
		return err
	}
	second := m.rig.Process(m.name)
	switch s.Action {
	case HangupDuringReplace:
		m.sendHangups(s, p, second)
	case ReplaceTwice:
		if err := m.startProcess(true); err != nil {
			return err
		}
		terminate(second)
	}
	terminate(p)
	exits.Wait()
	return nil
}

// runJointSteps runs the joint steps of the plan.
func (inst *installation) runJointSteps(ctx context.Context) error {
	began := time.Now()
	for _, j := range inst.plan.JointSteps {
		if sleep(ctx, time.Until(began.Add(j.At))); ctx.Err() != nil {
			return nil
		}
		errs := make(chan error, len(j.Processes))
		for _, k := range j.Processes {
			go func() { errs <- inst.members[k].runStep(j.Step) }()
		}
		for range j.Processes {
			if err := <-errs; err != nil {
				return err
			}
		}
	}
	return nil
}

// runWorkerSteps runs the steps of the workers.
func (inst *installation) runWorkerSteps(ctx context.Context) error {
	began := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range inst.plan.WorkerSteps {
		if sleep(ctx, time.Until(began.Add(s.At))); ctx.Err() != nil {
			return nil
		}
		running.Go(func() { inst.runWorkerStep(ctx, s) })
	}
	return nil
}

// runWorkerStep runs one step of a worker and returns when it has ended.
func (inst *installation) runWorkerStep(ctx context.Context, s WorkerStep) {
	h := inst.workers[s.Worker]
	switch s.Disruption {
	case DrainWorker:
		inst.setWorkerHealth(s.Worker, "draining", time.Time{})
		sleep(ctx, s.Duration)
		inst.setWorkerHealth(s.Worker, "up", time.Time{})
	case RestartWorker:
		inst.setWorkerHealth(s.Worker, "removed", time.Time{})
		h.Crash(workerAddress)
		sleep(ctx, s.Duration)
		h.SetFault(workerAddress, host.Serve)
		inst.setWorkerHealth(s.Worker, "up", time.Now())
	case CloseIdleConnections:
		h.CloseIdle(workerAddress, s.Reset)
	case FaultyWorker:
		if s.Fault == host.Refuse {
			h.Crash(workerAddress)
		} else {
			h.SetFault(workerAddress, s.Fault)
		}
		sleep(ctx, s.Duration)
		h.SetFault(workerAddress, host.Serve)
	}
}

// runDiscoverySteps runs the faults of discovery.
func (inst *installation) runDiscoverySteps(ctx context.Context) error {
	began := time.Now()
	for _, s := range inst.plan.DiscoverySteps {
		if sleep(ctx, time.Until(began.Add(s.At))); ctx.Err() != nil {
			return nil
		}
		from := time.Now()
		inst.discovery.SetFault(s.Fault)
		sleep(ctx, s.Duration)
		inst.discovery.SetFault(discoveryserver.NoFault)
		inst.record(func(now time.Time) { inst.history.Outages = append(inst.history.Outages, Outage{from, now}) })
	}
	return nil
}
