package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopped tells whether the program stands still.
func (p *player) stopped() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.program.Process.Pid))
	p.noError("stat", err)
	_, after, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(after, "T")
}

// The process stands still for longer than an attempt may follow the client's leaving, and finds both: that the client
// has left, and that its job was turned away and may go to the other host. It does not go there, whichever came first.
func TestNoAttemptAfterStandstill(t *testing.T) {
	for i, way := range []string{"close", "half", "reset"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			p := &player{T: t, parties: map[byte]*party{}, conns: map[string]*peer{},
				addr: fmt.Sprintf("127.1.1.%d:0", i+2)}
			p.start("ab", nil)
			p.ready()
			for round := range 4 { // more, and the module takes both hosts for busy
				p.leaveAtStandstill(way, round)
			}
		})
	}
}

func (p *player) leaveAtStandstill(way string, round int) {
	client, id := fmt.Sprint("c", round), fmt.Sprint("round-", round)
	_, err := fmt.Fprintf(p.peer(client),
		"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: dispute\r\n"+
			"X-Tenant-Id: acme\r\nX-Timeout-Ms: 30000\r\nContent-Length: 0\r\n\r\n", id)
	p.noError(client, err)
	first := p.attempt(id)

	p.noError("stop", p.program.Process.Signal(syscall.SIGSTOP))
	require.Eventually(p, p.stopped, patience, time.Millisecond)
	leave := func() { p.command(way + " " + client) }
	turnAway := func() {
		_, err := io.WriteString(first.from,
			"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		p.noError(id, err)
	}
	steps := []func(){leave, turnAway}
	steps[round%2]()
	steps[1-round%2]()
	time.Sleep(300 * time.Millisecond)
	p.noError("cont", p.program.Process.Signal(syscall.SIGCONT))
	p.command("until app_outstanding 0")
	for _, party := range []byte{'a', 'b'} {
		for len(p.parties[party].arrivals) > 0 {
			a := <-p.parties[party].arrivals
			require.False(p, strings.HasPrefix(a.text, "POST "), a.text)
		}
	}
}

// attempt waits for the first attempt of a job, at either host; call-offs of those before are passed over.
func (p *player) attempt(id string) arrival {
	for end := time.After(patience); ; {
		var a arrival
		select {
		case a = <-p.parties['a'].arrivals:
		case a = <-p.parties['b'].arrivals:
		case <-end:
			require.Fail(p, "no attempt", id)
		}
		if strings.HasPrefix(a.text, "POST ") {
			require.Contains(p, a.text, "X-Request-ID: "+id+"\n")
			return a
		}
	}
}
