package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// Rolling deploys of a large fleet: each replaces all hosts of the list but the workers of the run. The hosts are
// listed as draining, so that nothing may be sent to them, and need not exist.

// Deploys are the rolling deploys of a run.
type Deploys struct {
	Hosts    int             // 0 for no deploys
	MemoryMB int             // limit on the memory of a process, 0 for the default
	At       []time.Duration // when each begins, in order of time
}

const (
	deploysOneIn                   = 3 // one run in this many has deploys
	minDeployHosts, maxDeployHosts = 200, 3200
	deployMemoryMB                 = 48
	deployParts                    = 8 // of a deploy, which are replaced one after the other
	deployPartInterval             = 300 * time.Millisecond
	minDeployInterval              = 4 * time.Second // from the begin of one deploy to that of the next
	maxDeployInterval              = 8 * time.Second
	memoryCheckInterval            = 200 * time.Millisecond
	manyDispatchersOneIn           = 2  // one run in this many that asks for lists belongs to a large fleet
	manyDispatchers                = 60 // of which the others are not played
	deploySeed                     = 56 // second word of the seed of the draws in this file
)

// drawDeploys draws the deploys of a run and the size of its fleet. It has a source of its own, so that the other draws
// of a seed stay as they are.
func drawDeploys(p *Plan) {
	g := generator{rand.New(rand.NewPCG(p.Seed, deploySeed))}
	p.Dispatchers = p.Processes
	if large := g.oneIn(manyDispatchersOneIn); large && p.Subscribe {
		p.Dispatchers = manyDispatchers
	}
	if !g.oneIn(deploysOneIn) {
		return
	}
	p.Deploys = Deploys{Hosts: minDeployHosts + g.IntN(maxDeployHosts-minDeployHosts+1), MemoryMB: deployMemoryMB}
	for at := g.between(time.Second, minDeployInterval); at < p.Length; {
		p.Deploys.At = append(p.Deploys.At, at)
		at += g.between(minDeployInterval, maxDeployInterval)
	}
	g.keepLastProcess(p)
}

// keepLastProcess changes the steps of the last dispatcher so that one process of it lives through all deploys.
func (g generator) keepLastProcess(p *Plan) {
	last := p.Processes - 1
	for i := range p.ProcessSteps[last] {
		p.ProcessSteps[last][i].Action = [...]Action{Reload, Freeze}[g.IntN(2)]
	}
	for i := range p.JointSteps {
		p.JointSteps[i].Processes = slices.DeleteFunc(p.JointSteps[i].Processes, func(n int) bool { return n == last })
	}
}

// String describes the deploys, "" for none.
func (d Deploys) String() string {
	if d.Hosts == 0 {
		return ""
	}
	return fmt.Sprintf("deploys of %d hosts, %d MB, at %v", d.Hosts, d.MemoryMB, d.At)
}

// hostOfRelease returns the entry of a host that a deploy has started.
func hostOfRelease(release, number int) discoveryserver.Entry {
	return discoveryserver.Entry{Host: fmt.Sprintf("r%d-%d", release, number), Dial: "127.0.0.1:9", Site: "hall-a",
		Class: "small", Share: 1, Health: "draining", StartedMillis: time.Now().UnixMilli()}
}

// listFirstRelease lists the hosts that the first deploy replaces.
func (inst *installation) listFirstRelease() {
	var entries []discoveryserver.Entry
	for i := range inst.plan.Deploys.Hosts {
		entries = append(entries, hostOfRelease(0, i))
	}
	if len(entries) > 0 {
		inst.discovery.Update(entries...)
	}
}

// runDeploys runs the deploys.
func (inst *installation) runDeploys(ctx context.Context) error {
	began := time.Now()
	for release, at := range inst.plan.Deploys.At {
		sleep(ctx, time.Until(began.Add(at)))
		for part := range deployParts {
			if ctx.Err() != nil {
				return nil
			}
			inst.replacePart(release, part)
			sleep(ctx, deployPartInterval)
		}
	}
	return nil
}

// replacePart replaces some of the hosts of a release by those of the next one.
func (inst *installation) replacePart(release, part int) {
	var changes []discoveryserver.Entry
	for i := part; i < inst.plan.Deploys.Hosts; i += deployParts {
		old := hostOfRelease(release, i)
		old.Health = "removed"
		changes = append(changes, old, hostOfRelease(release+1, i))
	}
	inst.discovery.Update(changes...)
}

// watchMemory records the peak memory of the processes until the context ends.
func (inst *installation) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range inst.members {
			m.recordMemory(m.rig.Process(m.name))
		}
		sleep(ctx, memoryCheckInterval)
	}
}

// recordMemory records the peak memory of a process, unless it has ended.
func (m *member) recordMemory(p *program.Process) {
	memory, err := p.Memory()
	if err != nil {
		return
	}
	m.record(func(time.Time) {
		if r := m.processes[p]; r != nil {
			r.PeakMemoryKB = max(r.PeakMemoryKB, memory.PeakKB)
		}
	})
}
