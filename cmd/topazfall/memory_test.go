package main

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	floodTime    = 3 * time.Second
	stallTimeout = 10 * time.Second // for a client that sends slowly to give up
	slowPause    = 150 * time.Millisecond
	longTimeout  = time.Minute // of messages that shall stay in flight
	fullHeader   = 15_800      // bytes, just below the limit of the program
	fullBody     = 64 << 10    // bytes, the limit of the protocol
)

// fillHeader appends copies of a field until the head has the size of fullHeader.
func fillHeader(head, field string) string {
	return head + strings.Repeat(field, (fullHeader-len(head))/len(field))
}

// writeSlowly writes a text in pieces of at most size bytes, with a pause between them.
func writeSlowly(c net.Conn, text string, size int, pause time.Duration) error {
	for len(text) > 0 {
		n := min(len(text), size)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return nil
}

// misuse is a way in which hundreds of clients use up the memory of a dispatcher.
type misuse struct {
	name string
	// send writes what one client sends on a connection. id is new for each connection.
	send   func(c net.Conn, id string) error
	unread bool   // the clients do not read
	result string // of the workers' jobs
	stalls bool   // the workers announce bodies of their answers, and do not send them
}

func writeAll(compose func(id string) string) func(net.Conn, string) error {
	return func(c net.Conn, id string) error {
		_, err := io.WriteString(c, compose(id))
		return err
	}
}

var slowRequests = []misuse{
	{name: "slow header", send: func(c net.Conn, id string) error {
		head := fillHeader(requestHead(id, "lookup", longTimeout), "X-Note: "+strings.Repeat("n", 90)+"\r\n")
		return writeSlowly(c, head, 1200, slowPause)
	}},
	{name: "stalled header", send: writeAll(func(id string) string {
		return fillHeader(requestHead(id, "lookup", longTimeout), "X-Note: "+strings.Repeat("n", 90)+"\r\n")
	})},
	{name: "slow body", send: func(c net.Conn, id string) error {
		head := requestHead(id, "lookup", longTimeout, fmt.Sprintf("Content-Length: %d\r\n\r\n", fullBody))
		return writeSlowly(c, head+strings.Repeat("x", fullBody), fullBody/16, slowPause)
	}},
	{name: "half a body", send: writeAll(func(id string) string {
		return requestHead(id, "lookup", longTimeout, fmt.Sprintf("Content-Length: %d\r\n\r\n", fullBody)) +
			strings.Repeat("x", fullBody/2)
	})},
}

var announcedBodies = []misuse{
	{name: "body announced and not sent", send: writeAll(func(id string) string {
		return requestHead(id, "lookup", longTimeout, fmt.Sprintf("Content-Length: %d\r\n\r\n", fullBody), "x")
	})},
	{name: "chunk announced and not sent", send: writeAll(func(id string) string {
		return requestHead(id, "lookup", longTimeout, "Transfer-Encoding: chunked\r\n\r\n", "fff0\r\nx")
	})},
}

var manyFields = []misuse{
	{name: "stalled header of short fields", send: writeAll(func(id string) string {
		return fillHeader(requestHead(id, "lookup", longTimeout), "a:1\r\n")
	})},
	{name: "short fields in flight", send: writeAll(func(id string) string {
		return fillHeader(requestHead(id, "dispute-extract", longTimeout), "a:1\r\n") + "Content-Length: 0\r\n\r\n"
	})},
	{name: "short fields of many names in flight", send: writeAll(func(id string) string {
		var fields strings.Builder
		for i := 0; fields.Len() < fullHeader-400; i++ {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		return requestHead(id, "dispute-extract", longTimeout, fields.String(), "Content-Length: 0\r\n\r\n")
	})},
	{name: "short fields and no valid message", send: writeAll(func(id string) string {
		return fillHeader(requestHead(id, "none", longTimeout), "a:1\r\n") + "Content-Length: 0\r\n\r\n"
	})},
}

var cookies = []misuse{
	{name: "cookies in flight", send: writeAll(func(id string) string {
		head := requestHead(id, "dispute-extract", longTimeout, "Content-Length: 0\r\nCookie: ")
		return fillHeader(head, "a;") + "\r\n\r\n"
	})},
}

var messagesInFlight = []misuse{
	{name: "long header in flight", send: writeAll(func(id string) string {
		return fillHeader(requestHead(id, "dispute-extract", longTimeout), "X-Note: "+strings.Repeat("n", 90)+"\r\n") +
			"Content-Length: 0\r\n\r\n"
	})},
	{name: "medium body in flight", send: writeAll(func(id string) string {
		return requestHead(id, "dispute-extract", longTimeout, "Content-Length: 15000\r\n\r\n") +
			strings.Repeat("x", 15000)
	})},
	{name: "full body in flight", send: writeAll(func(id string) string {
		return requestHead(id, "dispute-extract", longTimeout, fmt.Sprintf("Content-Length: %d\r\n\r\n", fullBody)) +
			strings.Repeat("x", fullBody)
	})},
	{name: "sound requests in flight", send: writeAll(func(id string) string {
		return requestHead(id, "dispute-extract", longTimeout, "Content-Length: 200\r\n\r\n") + strings.Repeat("x", 200)
	})},
}

var rejectedRequests = []misuse{
	{name: "rubbish and much behind it", send: writeAll(func(string) string {
		return "RUBBISH\r\n\r\n" + strings.Repeat("x", 900<<10)
	})},
}

var unreadAnswers = []misuse{
	{name: "large answers that are not read", unread: true, result: strings.Repeat("r", 60<<10),
		send: func(c net.Conn, id string) error {
			c.(*net.TCPConn).SetReadBuffer(4 << 10)
			for i := range 100 {
				head := requestHead(fmt.Sprintf("%s-%d", id, i), "lookup", longTimeout, "Content-Length: 0\r\n\r\n")
				if _, err := io.WriteString(c, head); err != nil {
					return err
				}
				time.Sleep(slowPause)
			}
			return nil
		}},
}

var workerAnswers = []misuse{
	{name: "answers of workers that stop", stalls: true, send: writeAll(dispute)},
}

// floodLimits are limits of the deployment page: the smallest, the largest, and the hardest for memory.
var floodLimits = []struct{ memoryMB, sockets int }{{32, 256}, {192, 1024}, {32, 1024}}

// testMemoryLimit lets hundreds of clients use as much of the dispatcher's memory as they can. It stays within its
// limit, and each message of the usual clients gets its final answer in time.
func testMemoryLimit(t *testing.T, misuses []misuse) {
	for _, limits := range floodLimits {
		for _, m := range misuses {
			t.Run(fmt.Sprintf("%d MB %d descriptors %s", limits.memoryMB, limits.sockets, m.name), func(t *testing.T) {
				t.Parallel()
				target := startFloodTarget(t, limits.memoryMB, limits.sockets, m.result)
				for _, w := range target.workers {
					w.stalls = m.stalls
				}
				usual := startUsualClients(target.process.Address())
				time.Sleep(time.Second)
				f := startFlood(target.process.Address(), limits.sockets*9/10, !m.unread,
					func(c net.Conn, n int64) error { return m.send(c, fmt.Sprintf("flood-%d", n)) })
				time.Sleep(floodTime)
				summary := usual.end()
				memory := readMemory(target.T, target.process)
				f.end()
				t.Logf("peak %.1f MB, present %.1f MB of %d; usual clients: %v", float64(memory.PeakKB)/1024,
					float64(memory.PresentKB)/1024, limits.memoryMB, summary)
				require.LessOrEqual(t, memory.PeakKB, limits.memoryMB<<10, "kB")
				require.Zero(t, summary.lost+summary.late, "messages without their answer in time")
			})
		}
	}
}

// Guards against requests that come slowly, or stop in their middle, taking more memory than was sent.
func TestMemoryLimitHoldsForSlowRequests(t *testing.T) { testMemoryLimit(t, slowRequests) }

// Guards against memory for a body that was announced and never comes.
func TestMemoryLimitHoldsForAnnouncedBodies(t *testing.T) { testMemoryLimit(t, announcedBodies) }

// Guards against headers of many short fields taking many times their size.
func TestMemoryLimitHoldsForManyFields(t *testing.T) { testMemoryLimit(t, manyFields) }

// Guards against cookies of many parts taking many times their size.
func TestMemoryLimitHoldsForCookies(t *testing.T) { testMemoryLimit(t, cookies) }

// Guards against messages in flight taking more memory than there is.
func TestMemoryLimitHoldsForMessagesInFlight(t *testing.T) { testMemoryLimit(t, messagesInFlight) }

// Guards against what follows a rejected request taking more memory than there is.
func TestMemoryLimitHoldsForRejectedRequests(t *testing.T) { testMemoryLimit(t, rejectedRequests) }

// Guards against answers that nobody reads taking more memory than there is.
func TestMemoryLimitHoldsForUnreadAnswers(t *testing.T) { testMemoryLimit(t, unreadAnswers) }

// Guards against memory for answers that workers have announced and do not send.
func TestMemoryLimitHoldsForAnswersOfWorkers(t *testing.T) { testMemoryLimit(t, workerAnswers) }

// Guards against the two processes of a replacement passing the limit together, while clients misuse both.
func TestMemoryLimitHoldsForBothProcessesOfReplacement(t *testing.T) {
	testMemoryLimitOfReplacement(t, slices.Concat(slowRequests[1:2], announcedBodies[:1], messagesInFlight[:1]))
}

// Guards against the same with as many messages in flight as the limits allow.
func TestMemoryLimitHoldsForFullProcessesOfReplacement(t *testing.T) {
	testMemoryLimitOfReplacement(t, messagesInFlight[1:])
}

// testMemoryLimitOfReplacement replaces the process while hundreds of clients misuse it. The code of the program, which
// the system has in memory once, counts once.
func testMemoryLimitOfReplacement(t *testing.T, misuses []misuse) {
	for _, m := range misuses {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			const memoryMB, sockets = 32, 1024
			target := startFloodTarget(t, memoryMB, sockets, "")
			old, address := target.process, target.process.Address()
			usual := startUsualClients(address)
			f := startFlood(address, sockets*9/10, true,
				func(c net.Conn, n int64) error { return m.send(c, fmt.Sprintf("flood-%d", n)) })
			time.Sleep(floodTime / 2)
			target.options.Listen = address
			target.process = target.start()
			peak := 0
			for end := time.Now().Add(floodTime / 2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				first, second := readMemory(target.T, old), readMemory(target.T, target.process)
				peak = max(peak, first.PresentKB+second.PresentKB-min(first.FilesKB, second.FilesKB))
			}
			require.NoError(t, old.Terminate())
			time.Sleep(floodTime / 2)
			summary := usual.end()
			f.end()
			t.Logf("peak %.1f MB of %d for both; usual clients: %v", float64(peak)/1024, memoryMB, summary)
			require.LessOrEqual(t, peak, memoryMB<<10, "kB")
			require.LessOrEqual(t, readMemory(target.T, target.process).PeakKB, memoryMB<<10, "kB")
			require.Zero(t, summary.lost+summary.late, "messages without their answer in time")
		})
	}
}
