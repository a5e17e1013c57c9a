package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazfall/internal/lab/resolver"
)

const (
	srvName   = "_jobs._tcp.workers.test"
	loadEvery = 80 * time.Millisecond // between two lookups
	grace     = 550 * time.Millisecond
)

// removedHost is the case of a worker that the roster removes while DNS still lists it, and of a replacement of the
// process after that.
func removedHost(b *bench) (ruleBroken bool, err error) {
	listen := freeAddress()
	var workers []*worker
	var hosts []host
	var targets []resolver.Target
	for i := range 3 {
		name := fmt.Sprintf("w%d.workers.test", i+1)
		w, err := b.startWorker(name, "127.0.0.1:0", func(string) string { return listen },
			byClass(100*time.Millisecond, 1200*time.Millisecond))
		if err != nil {
			return false, err
		}
		var port uint16
		fmt.Sscanf(w.address, "127.0.0.1:%d", &port)
		workers, hosts = append(workers, w), append(hosts, newHost(name, w.address))
		targets = append(targets, resolver.Target{Host: name, Port: port, Weight: 100, A: []string{"127.0.0.1"}})
	}
	dns, err := resolver.Start()
	if err != nil {
		return false, err
	}
	defer dns.Close()
	dns.SetRecords(srvName, 2, targets...)
	d, err := b.startDiscovery(hosts)
	if err != nil {
		return false, err
	}
	agent := dispatcherOptions{run: "exec bin/topazfall agent --state " + filepath.Join(b.folder, "state"), name: "n0",
		listen: listen, management: freeAddress(),
		config: b.writeConfig("n0", d.address, object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, hosts, nil)}
	old, err := b.startDispatcher(agent)
	if err != nil {
		return false, err
	}
	if err := b.applySources(dns.Address()); err != nil {
		return false, err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		b.load(listen, stop)
	}()
	time.Sleep(3 * time.Second)
	gone := hosts[2]
	gone.Health = "removed"
	d.set(gone)
	toldAt := time.Now()
	b.note("discovery tells that %s is removed; DNS lists it all the same", gone.Host)
	time.Sleep(4 * time.Second)
	b.noteHosts()
	bound := toldAt.Add(grace)
	if b.trouble {
		agent.management = freeAddress()
		if _, err := b.startDispatcher(agent); err != nil {
			return false, err
		}
		bound = time.Now().Add(boundAfterYes + grace) // what discovery reports binds the new process 2 s after its yes
		b.note("SIGTERM to the old process %d", old.Process.Pid)
		old.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(5 * time.Second)
	b.noteHosts()
	lost := workers[2].shutDown(bound)
	time.Sleep(4 * time.Second)
	close(stop)
	<-ended
	b.copyLogs("at=takeover", "at=main", "at=sources", "at=inventory")
	late := workers[2].count("", bound)
	b.note("attempts at %s later than %v after it was told as removed: %d; later than 2.55 s after the yes too: %d",
		gone.Host, grace, workers[2].count("", toldAt.Add(grace)), late)
	b.note("jobs among these that were lost when %s ended: %d", gone.Host, lost)
	if workers[0].count("", toldAt) == 0 {
		return false, fmt.Errorf("no lookup reached a worker that is listed as up")
	}
	return late > 0, nil
}

// applySources gives the agent the resolver and the SRV name, by the operators' tool.
func (b *bench) applySources(resolverAddress string) error {
	document := filepath.Join(b.folder, "settings.json")
	text := fmt.Sprintf(`{"sources": {"resolvers": [%q], "srv": [{"name": %q, "zone": "hall-a", "kind": "large"}]}}`,
		resolverAddress, srvName)
	if err := os.WriteFile(document, []byte(text), 0o600); err != nil {
		return err
	}
	tool := exec.Command("bin/topazctl", "--control", "unix:"+filepath.Join(b.folder, "state", "control.sock"),
		"settings", "apply", document)
	out, err := tool.CombinedOutput()
	b.note("topazctl settings apply: %s", strings.TrimSpace(string(out)))
	return err
}

// noteHosts records the agent's list of hosts, as the operators' tool shows it.
func (b *bench) noteHosts() {
	tool := exec.Command("bin/topazctl", "--control", "unix:"+filepath.Join(b.folder, "state", "control.sock"), "hosts")
	out, err := tool.CombinedOutput()
	b.note("topazctl hosts (%v):\n%s", err, out)
}

// load sends lookups, and a dispute after every two of them, until stop is closed.
func (b *bench) load(listen string, stop <-chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	clients := make(chan *http.Client, 64)
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(loadEvery):
		}
		wait.Go(func() {
			client := newClient()
			select {
			case client = <-clients:
			default:
			}
			class := "lookup"
			if n%3 == 0 {
				class = "dispute-extract"
			}
			j := job{id: fmt.Sprintf("a%015x", n), class: class, tenant: "delta-mobile", timeout: deadlines[class],
				body: []byte("subscriber")}
			a := b.send(client, listen, j)
			b.note("client got %d %q for %s, a %s (%v)", a.status, a.body, j.id, j.class, a.err)
			select {
			case clients <- client:
			default:
			}
		})
	}
}
