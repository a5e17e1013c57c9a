package instance

// The link to the process that this one replaces.

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"topazfall/internal/decide/digests"
	"topazfall/internal/decide/ramp"
	"topazfall/internal/discovery"
	"topazfall/internal/takeover"
)

// errReplacedByAnother means that the predecessor has been replaced by another process in the meantime.
var errReplacedByAnother = errors.New("another process takes the predecessor's place")

// replacePredecessor notifies the predecessor that this process accepts connections from now on. It returns when the
// predecessor has sent its limits or closed the link, or after limitsTimeout. It is an error if the predecessor has
// closed the link and a process still serves at the socket, the predecessor itself or another successor: then this
// process was too late and must not accept.
func (h *handover) replacePredecessor(predecessor *takeover.Link) error {
	limitsKnown, linkClosed := make(chan struct{}), make(chan struct{})
	h.mu.Lock()
	h.predecessor, h.predecessorIDs = predecessor, &idQuestions{link: predecessor, process: "old"}
	h.predecessorUpdates = newUpdateSender(predecessor)
	go h.predecessorUpdates.run(linkClosed)
	_, serverLimits := deriveLimits(h.config)
	h.predecessorLimits = heldLimits{Conns: serverLimits.MaxConns / 2, Share: 0.5}
	h.updateLimits()
	h.updateClaim()
	h.mu.Unlock()
	setLimitsKnown := sync.OnceFunc(func() { close(limitsKnown) })
	go func() {
		defer close(linkClosed)
		err := predecessor.Run(func(f takeover.Frame) { h.handlePredecessorFrame(f, setLimitsKnown) },
			func(body []byte) bool { return h.answerPredecessor(body, predecessor) })
		slog.Info("takeover", "old", "gone", "reason", err)
		h.mu.Lock()
		h.predecessor, h.predecessorIDs, h.predecessorLimits = nil, nil, heldLimits{}
		h.predecessorUpdates = nil
		h.updateLimits()
		h.updateClaim()
		h.mu.Unlock()
		h.watch.SetGone(discovery.Predecessor)
	}()
	predecessor.Send(frameReady, nil, nil)
	h.watch.SetPresent(discovery.Predecessor)
	h.watch.SetServing()
	select {
	case <-limitsKnown:
	case <-time.After(limitsTimeout):
	case <-linkClosed:
		select {
		case <-limitsKnown: // the limits came right before the link closed
			return nil
		default:
		}
		if isServing(h.socketPath) {
			return errReplacedByAnother
		}
	}
	return nil
}

// isServing reports whether a process at path waits for successors. The socket of a process that is ending may still
// accept a connection, but closes it instead of waiting for a first frame.
func isServing(path string) bool {
	link, err := takeover.Dial(path)
	if err != nil {
		return false
	}
	defer link.Abandon()
	link.SetReadDeadline(time.Now().Add(retryInterval))
	_, err = link.ReadFrame()
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (h *handover) handlePredecessorFrame(frame takeover.Frame, setLimitsKnown func()) {
	switch frame.Kind {
	case frameState: // the state came too late
		var state handoverState
		if decode(frame.Body, &state) == nil {
			h.restoreLate(state)
		}
	case frameLimits:
		var limits heldLimits
		if decode(frame.Body, &limits) == nil {
			h.mu.Lock()
			h.predecessorLimits = limits
			h.updateLimits()
			h.mu.Unlock()
		}
		setLimitsKnown()
	case frameColdWork:
		var sent map[string]ramp.Log
		if decode(frame.Body, &sent) == nil {
			h.core.RestoreColdWork(sent)
		}
	case frameKnownIDs:
		var ids []string
		if decode(frame.Body, &ids) == nil {
			h.core.AddKnownIDs(ids)
		}
	case frameRanIDs:
		h.core.AddRanIDs(digests.Decode(frame.Body))
	case frameUpdate:
		h.receiveUpdate(discovery.Predecessor, frame.Body)
	case frameConnection:
		h.receiveConnection(frame)
	}
	if frame.File != nil {
		frame.File.Close()
	}
}

// receiveConnection takes over a client connection, with the message in flight on it if there is one.
func (h *handover) receiveConnection(frame takeover.Frame) {
	var kept handoverConnection
	if frame.File == nil || decode(frame.Body, &kept) != nil {
		return
	}
	conn, err := net.FileConn(frame.File)
	if err != nil {
		slog.Warn("takeover", "error", err)
		return
	}
	h.mu.Lock() // the connection now counts as this process's
	h.predecessorLimits.Conns = max(h.predecessorLimits.Conns-1, 0)
	h.updateLimits()
	h.mu.Unlock()
	if kept.Begun != nil {
		h.server.ResumeMessage(conn, *kept.Begun, kept.More)
		return
	}
	go h.server.AdoptConn(conn, kept.Proven, kept.Client)
}
