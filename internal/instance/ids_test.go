package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/dispatch"
	"topazfall/internal/metrics"
	"topazfall/internal/takeover"
	"topazfall/internal/upstream"
)

// linkPair returns both ends of a link.
func linkPair(t *testing.T) (predecessor, successor *takeover.Link) {
	path := t.TempDir() + "/s"
	ln, err := takeover.Listen(path)
	require.NoError(t, err)
	defer ln.Close()
	successor, err = takeover.Dial(path)
	require.NoError(t, err)
	conn, err := ln.AcceptUnix()
	require.NoError(t, err)
	predecessor = takeover.NewLink(conn)
	t.Cleanup(func() { predecessor.Close(); successor.Close() })
	return predecessor, successor
}

// startCore returns a running core without hosts.
func startCore(t *testing.T) (*dispatch.Core, *upstream.Transport) {
	settings := testSettings()
	counters := &metrics.Metrics{}
	core, err := dispatch.New(settings, counters)
	require.NoError(t, err)
	transport := upstream.New(core, upstream.Options{MaxConns: 1, Metrics: counters})
	go core.Run(transport, nil)
	return core, transport
}

// A process of the version before ids were claimed answers a claim with no, as it does with any question that it cannot
// read as a callback: it must not take the claim for one, nor close the link. The same goes for a successor that is
// asked for a message in flight.
func TestOlderProcessAnswersQuestionsAboutIDs(t *testing.T) {
	core, transport := startCore(t)
	for _, question := range [][]byte{encodeClaim("one"), encodeInFlight("one")} {
		_, err := transport.HandleCallback(question)
		require.Error(t, err)
	}
	older, link := linkPair(t)
	go older.Run(func(takeover.Frame) {}, func(question []byte) bool {
		handled, err := transport.HandleCallback(question)
		return err == nil && handled
	})
	go link.Run(func(takeover.Frame) {}, func([]byte) bool { return false })
	h := &handover{core: core, predecessorIDs: &idQuestions{link: link}}
	require.False(t, h.claimID("one"))
	require.False(t, h.claimID("one"), "the link is still open")
	require.False(t, h.predecessorIDs.silent.Load())
	h = &handover{core: core, successorIDs: &idQuestions{link: link}}
	require.False(t, h.isTaken("one"))
	require.False(t, h.isTaken("one"), "the link is still open")
	require.False(t, h.successorIDs.silent.Load())
}

// The ids that a process admits while its successor runs reach the successor in order, each once.
func TestNewIDsAreReported(t *testing.T) {
	core, _ := startCore(t)
	link, successor := linkPair(t)
	reporter := &idReporter{core: core, link: link, gone: make(chan struct{})}
	core.AddKnownIDs([]string{"one"})
	reporter.report()
	go reporter.run()
	defer close(reporter.gone)
	receive := func() (ids []string) {
		successor.SetReadDeadline(time.Now().Add(testTimeout))
		frame, err := successor.ReadFrame()
		require.NoError(t, err)
		require.Equal(t, frameKnownIDs, frame.Kind)
		require.NoError(t, decode(frame.Body, &ids))
		return ids
	}
	require.Equal(t, []string{"one"}, receive())
	require.False(t, core.ClaimForSuccessor("claimed"))
	core.AddKnownIDs([]string{"two", "three"})
	require.Equal(t, []string{"two", "three"}, receive())
	core.AddKnownIDs([]string{"four"})
	require.Equal(t, []string{"four"}, receive())
}

// A predecessor that hangs answers no claim. The first message waits for it for a limited time, and the others go on at
// once: otherwise each would lose that time for as long as the predecessor hangs. When it goes on its answers count.
func TestClaimAtHangingPredecessor(t *testing.T) {
	core, _ := startCore(t)
	predecessor, link := linkPair(t)
	go link.Run(func(takeover.Frame) {}, func([]byte) bool { return false })
	h := &handover{core: core, predecessorIDs: &idQuestions{link: link}}
	asked := time.Now()
	require.False(t, h.claimID("one"))
	require.GreaterOrEqual(t, time.Since(asked), claimTimeout)
	for range 100 {
		require.False(t, h.claimID("two"))
	}
	require.Less(t, time.Since(asked), 50*claimTimeout, "a hundred messages have not waited")
	go predecessor.Run(func(takeover.Frame) {}, func([]byte) bool { return true })
	require.Eventually(t, func() bool { return h.claimID("three") }, testTimeout, time.Millisecond)
	require.False(t, (&handover{core: core}).claimID("one"), "no predecessor")
}
