package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

const (
	deployedHosts  = 3200                   // of the largest fleet
	deploys        = 6                      // rolling deploys of all hosts, one after the other
	deployParts    = 16                     // of a deploy, which are replaced at once
	deployInterval = 250 * time.Millisecond // between two parts
	deployMemoryMB = 48
)

// hostOfRelease returns the list's entry of a host that a release has started.
func hostOfRelease(release, number int) discoveryserver.Entry {
	return discoveryserver.Entry{Host: fmt.Sprintf("r%d-%d", release, number), Site: "hall-a", Class: "small", Share: 1,
		Dial:          fmt.Sprintf("127.0.%d.%d:9", 1+number/200, 1+number%200),
		StartedMillis: time.Now().UnixMilli()}
}

// Guards against memory that grows with the hosts that were ever listed, until the process is killed for it: rolling
// deploys replace all hosts of a large fleet again and again.
func TestMemoryLimitHoldsOverDeploys(t *testing.T) {
	t.Parallel()
	list := startDiscovery(t)
	hosts := make([]discoveryserver.Entry, deployedHosts)
	for i := range hosts {
		hosts[i] = hostOfRelease(0, i)
	}
	list.Update(hosts...)
	p := launchProgram(t, program.Options{Discovery: list.Address(), MemoryMB: deployMemoryMB})
	_, err := p.AwaitReady(testTimeout)
	require.NoError(t, err)
	requireDiscovered := func() {
		require.Eventually(t, func() bool {
			figures, err := p.Metrics()
			return err == nil && figures["app_discovered"] == deployedHosts
		}, testTimeout, 10*time.Millisecond)
	}
	requireDiscovered()
	for release := range deploys {
		for part := range deployParts {
			var changes []discoveryserver.Entry
			for i := part; i < deployedHosts; i += deployParts {
				old := hosts[i]
				old.Health = "removed"
				hosts[i] = hostOfRelease(release+1, i)
				changes = append(changes, old, hosts[i])
			}
			list.Update(changes...)
			time.Sleep(deployInterval)
			memory := readMemory(t, p)
			require.Less(t, memory.PresentKB-memory.FilesKB, deployMemoryMB<<10, "in deploy %d, in kB", release)
		}
		requireDiscovered()
		memory := readMemory(t, p)
		t.Logf("after deploy %d: %d kB without files", release, memory.PresentKB-memory.FilesKB)
	}
}
