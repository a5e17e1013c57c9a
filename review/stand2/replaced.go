package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// replacedWorkers is the case of releases that replace the workers of a large fleet by new ones.
func replacedWorkers(b *bench) (ruleBroken bool, err error) {
	listen := freeAddress()
	const fleet = 3200
	names := func(release int) (hosts []host) {
		for i := range fleet {
			h := newHost(fmt.Sprintf("s-%02d%06x", release, i), fmt.Sprintf("127.0.%d.%d:%d", 1+i/200, 1+i%200, 9000+release))
			hosts = append(hosts, h)
		}
		return hosts
	}
	d, err := b.startDiscovery(names(0))
	if err != nil {
		return false, err
	}
	p, err := b.startDispatcher(dispatcherOptions{run: "exec bin/topazfall", name: "n0", listen: listen,
		management: freeAddress(), config: b.writeConfig("n0", d.address, object{"cores": 1.0, "memory_mb": 64, "sockets": 1024}, nil, nil)})
	if err != nil {
		return false, err
	}
	for release := 1; release <= 5; release++ {
		b.note("release %d: resident %d kB", release, residentKB(p.Process.Pid))
		old, fresh := names(release-1), names(release)
		for at := 0; at < fleet; at += 160 {
			batch := fresh[at : at+160]
			for i := range batch {
				batch[i].Born = time.Now().UnixMilli()
			}
			for _, h := range old[at : at+160] {
				h.Health = "removed"
				batch = append(batch[:len(batch):len(batch)], h)
			}
			d.set(batch...)
			time.Sleep(200 * time.Millisecond)
		}
	}
	b.note("end: resident %d kB", residentKB(p.Process.Pid))
	return false, nil
}

func residentKB(pid int) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %d kB", &kb)
	}
	return kb
}
