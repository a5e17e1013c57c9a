package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	largeFleet  = 3200             // workers
	releases    = 4                // one after the other
	releaseTime = 24 * time.Second // of each
	steps       = 20               // of each, 5% of the fleet in each step
	staying     = 32               // workers that no release replaces, 1%
	memoryMB    = 48
)

// fleetOf returns the workers of a release.
func fleetOf(release int) (hosts []host) {
	for i := range largeFleet {
		release := release
		if i < staying {
			release = 0
		}
		hosts = append(hosts, newHost(fmt.Sprintf("s-%02d%06x", release, i),
			fmt.Sprintf("127.0.%d.%d:%d", 1+i/200, 1+i%200, 9000+release)))
	}
	return hosts
}

// replacedWorkers is the case of releases in a large fleet: each replaces 99% of the workers by new ones.
func replacedWorkers(b *bench) (ruleBroken bool, err error) {
	d, err := b.startDiscovery(fleetOf(0))
	if err != nil {
		return false, err
	}
	p, err := b.startDispatcher(dispatcherOptions{run: "exec bin/topazfall", name: "n0", listen: freeAddress(),
		management: freeAddress(), config: b.writeConfig("n0", d.address,
			object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}, fleetOf(0),
			func(settings object) { settings["replicas_of_me"] = 900 })})
	if err != nil {
		return false, err
	}
	most := 0
	for release := 1; release <= releases; release++ {
		old, fresh := fleetOf(release-1), fleetOf(release)
		for step := range steps {
			time.Sleep(releaseTime / steps)
			kb := anonymousKB(p.Process.Pid)
			if most = max(most, kb); step%5 == 0 {
				b.note("release %d, step %d: the process holds %d kB", release, step, kb)
			}
			if !b.trouble {
				continue
			}
			from, to := step*largeFleet/steps, (step+1)*largeFleet/steps
			var changes []host
			for i := max(from, staying); i < to; i++ {
				fresh[i].Born = time.Now().UnixMilli()
				old[i].Health = "removed"
				changes = append(changes, fresh[i], old[i])
			}
			d.set(changes...)
		}
	}
	b.copyLog(p, "at=main")
	b.note("at most %d kB, of %d kB allowed", most, memoryMB<<10)
	if most > memoryMB<<10 {
		b.note("BROKEN: the platform would have killed it")
	}
	return most > memoryMB<<10, nil
}

// anonymousKB returns the resident memory of a process without the pages of its file.
func anonymousKB(pid int) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		fmt.Sscanf(line, "RssAnon: %d kB", &kb)
	}
	return kb
}
