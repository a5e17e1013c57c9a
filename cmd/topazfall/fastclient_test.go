package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazfall/internal/lab/program"
)

// fastClient is a way in which one client keeps a dispatcher busy on one connection.
type fastClient struct {
	name string
	// text is what the client sends for one request. number is new each time.
	text func(number int) string
	// together is the number of requests that are written at once, before any answer is read. It is 1 for a client that
	// waits for each answer, and neverReads for one that never reads.
	together int
	replaced bool // a second process has taken over, and the first one is still there
	stopped  bool // the first one is stopped meanwhile
}

const (
	neverReads   = 0
	fastTime     = 3 * time.Second
	aim          = 2 * time.Second // until when an answer has its full worth; as in program.Settings
	quietTimers  = 50              // a process without messages has fewer timers
	growthKB     = 4 << 10         // by which the memory may differ between the middle and the end of a constant load
	veryLongWait = 55 * time.Minute
	timerRemoval = 2 * time.Second // within which the timers of a message that has ended are gone
)

func bodyRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func readyText(int) string { return "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" }

func callbackText(id, state string) string {
	return bodyRequest("/v1/job-events",
		fmt.Sprintf(`{"id":"%s","from":"s-%s","state":"%s","result":"1"}`, id, id, state))
}

var fastClients = []fastClient{
	{name: "ready", together: 1, text: readyText},
	{name: "ready many at once", together: 500, text: readyText},
	{name: "ready unread", together: neverReads, text: readyText},
	{name: "empty lines", together: neverReads, text: func(int) string { return "\r\n" }},
	{name: "callbacks of new names", together: 1, text: func(n int) string {
		return callbackText(fmt.Sprintf("%0100d", n), "done")
	}},
	{name: "callbacks of new names after a replacement", together: 1, replaced: true, text: func(n int) string {
		return callbackText(fmt.Sprintf("%0100d", n), "done")
	}},
	{name: "unreadable callbacks", together: 1, text: func(int) string {
		return bodyRequest("/v1/job-events", "{")
	}},
	{name: "unknown states", together: 1, text: func(n int) string {
		return callbackText(fmt.Sprint(n), fmt.Sprintf("state-%d", n))
	}},
	{name: "unknown paths", together: 1, text: func(n int) string {
		return fmt.Sprintf("GET /path/%d HTTP/1.1\r\nHost: x\r\n\r\n", n)
	}},
	{name: "rubbish", together: 1, text: func(int) string { return "RUBBISH\r\n\r\n" }},
	{name: "unknown classes", together: 1, text: func(n int) string {
		return requestHead(fmt.Sprint(n), fmt.Sprintf("class-%d", n), time.Second, "Content-Length: 0\r\n\r\n")
	}},
	{name: "new field names", together: 1, text: func(n int) string {
		return requestHead(fmt.Sprint(n), "lookup", time.Millisecond, fmt.Sprintf("X-%d: 1\r\n", n),
			"Content-Length: 0\r\n\r\n")
	}},
	{name: "new ids without time", together: 1, text: func(n int) string {
		return requestHead(fmt.Sprintf("%0250d", n), "lookup", time.Millisecond, "Content-Length: 0\r\n\r\n")
	}},
	{name: "new ids without time after a replacement", together: 1, replaced: true, text: func(n int) string {
		return requestHead(fmt.Sprintf("%0250d", n), "lookup", time.Millisecond, "Content-Length: 0\r\n\r\n")
	}},
	{name: "one id", together: 1, text: func(int) string {
		return requestHead("same", "lookup", time.Millisecond, "Content-Length: 0\r\n\r\n")
	}},
	{name: "new ids and keys with much time", together: 1, text: func(n int) string {
		return requestHead(fmt.Sprint(n), "lookup", veryLongWait, fmt.Sprintf("Cookie: key=%d\r\n", n),
			"Content-Length: 0\r\n\r\n")
	}},
	{name: "messages many at once", together: 100, text: func(n int) string {
		return requestHead(fmt.Sprint(n), "lookup", time.Second, "Content-Length: 0\r\n\r\n")
	}},
	{name: "messages unread", together: neverReads, text: func(n int) string {
		return requestHead(fmt.Sprint(n), "lookup", veryLongWait, "Content-Length: 0\r\n\r\n")
	}},
	{name: "chunk by chunk", together: neverReads, text: func(n int) string {
		if n == 0 {
			return requestHead("chunks", "lookup", time.Second, "Transfer-Encoding: chunked\r\n\r\n")
		}
		return "1\r\nx\r\n"
	}},
}

// run sends requests on one connection after the other until the deadline.
func (f fastClient) run(address string, until time.Time) (sent, connections int) {
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		connections++
		c.SetDeadline(until)
		if f.together == neverReads {
			sent += f.writeOnly(c)
		} else {
			sent += f.converse(c, sent)
		}
		c.Close()
	}
	return sent, connections
}

func (f fastClient) writeOnly(c net.Conn) (sent int) {
	const batch = 200
	for {
		var text strings.Builder
		for range batch {
			text.WriteString(f.text(sent))
			sent++
		}
		if _, err := io.WriteString(c, text.String()); err != nil {
			return sent
		}
	}
}

func (f fastClient) converse(c net.Conn, number int) (sent int) {
	reader := bufio.NewReader(c)
	var answer fasthttp.Response
	for {
		var text strings.Builder
		for range f.together {
			text.WriteString(f.text(number + sent))
			sent++
		}
		if _, err := io.WriteString(c, text.String()); err != nil {
			return sent
		}
		for range f.together {
			if answer.Read(reader) != nil || answer.ConnectionClose() {
				return sent
			}
		}
	}
}

// testFastClient lets one client send at full speed. The usual clients are served in time, and memory does not grow.
func testFastClient(t *testing.T, f fastClient) {
	target := startFloodTarget(t, 32, 256, "")
	processes := []*program.Process{target.process}
	address := target.process.Address()
	if f.replaced {
		target.options.Listen = address
		processes = append(processes, target.start())
		time.Sleep(100 * time.Millisecond)
	}
	if f.stopped {
		target.stopProcess()
	}
	usual := startUsualClients(address)
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	type outcome struct{ sent, connections int }
	done := make(chan outcome, 1)
	go func() {
		sent, connections := f.run(address, began.Add(fastTime))
		done <- outcome{sent, connections}
	}()
	time.Sleep(fastTime / 2)
	newest := processes[len(processes)-1]
	middle := readMemory(target.T, newest).PresentKB
	o := <-done
	end := readMemory(target.T, newest).PresentKB
	summary := usual.end()
	together := 0
	for _, p := range processes {
		together += readMemory(target.T, p).PeakKB
	}
	t.Logf("peak %.1f MB for all, middle %.1f, end %.1f; sent %d on %d connections; usual clients: %v",
		float64(together)/1024, float64(middle)/1024, float64(end)/1024, o.sent, o.connections,
		summary)
	require.LessOrEqual(t, together, target.memoryMB<<10, "kB")
	require.Less(t, end-middle, growthKB, "kB of growth")
	require.Zero(t, summary.lost+summary.late, "messages without their answer in time")
	require.NotZero(t, summary.served)
	require.Zero(t, summary.refused+summary.failed, "one client costs the others their answers")
	require.Less(t, summary.slowest, aim)
	if f.replaced {
		require.NoError(t, processes[0].Signal(syscall.SIGCONT))
		require.NoError(t, processes[0].Signal(syscall.SIGTERM))
		require.NoError(t, processes[0].Wait(testTimeout))
	}
}

// Guards against one client at full speed delaying the others, or making memory grow.
func TestFastClientDoesNotDelayOthers(t *testing.T) { testFastClients(t, fastClients) }

// Guards against questions to a process that is stopped piling up in memory.
func TestFastClientWhileThePredecessorIsStopped(t *testing.T) {
	testFastClients(t, []fastClient{
		{name: "new ids", together: 1, replaced: true, stopped: true, text: func(n int) string {
			return requestHead(fmt.Sprintf("%0250d", n), "lookup", time.Millisecond, "Content-Length: 0\r\n\r\n")
		}},
		{name: "callbacks of new names", together: 1, replaced: true, stopped: true, text: func(n int) string {
			return callbackText(fmt.Sprintf("%0100d", n), "done")
		}},
	})
}

func testFastClients(t *testing.T, clients []fastClient) {
	for _, f := range clients {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			testFastClient(t, f)
		})
	}
}

// Guards against timers that outlive their messages: a client that gives its messages much time leaves them behind.
func TestTimersOfEndedMessagesAreRemoved(t *testing.T) {
	t.Parallel()
	target := startFloodTarget(t, 32, 256, "")
	f := fastClient{together: 1, text: func(n int) string {
		return requestHead(fmt.Sprint(n), "lookup", veryLongWait, "Content-Length: 0\r\n\r\n")
	}}
	sent, _ := f.run(target.process.Address(), time.Now().Add(fastTime))
	require.Greater(t, sent, 2*quietTimers)
	timers := 0.
	for deadline := time.Now().Add(timerRemoval); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		metrics, err := target.process.Metrics()
		require.NoError(t, err)
		if timers = metrics["app_timers"]; timers < quietTimers {
			return
		}
	}
	require.Less(t, timers, float64(quietTimers), "after %d messages", sent)
}
