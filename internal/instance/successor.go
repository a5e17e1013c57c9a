package instance

// The link to the process that replaces this one.

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"topazfall/internal/discovery"
	"topazfall/internal/takeover"
)

const (
	helloTimeout   = 2 * time.Second        // for the first frame of a process that wants to replace this one
	limitsInterval = 100 * time.Millisecond // between two checks whether the number of connections has changed
)

// listenForSuccessors lets processes replace this one, one at a time.
func (h *handover) listenForSuccessors() {
	ln, err := takeover.Listen(h.socketPath)
	if err != nil { // clients are still served, but a successor has to wait until this process ends
		slog.Warn("takeover", "path", h.socketPath, "error", err)
		return
	}
	h.mu.Lock()
	h.successorListener = ln
	h.mu.Unlock()
	h.acceptSuccessors(ln)
}

// linkListener accepts connections of processes that want to replace this one.
type linkListener interface {
	AcceptUnix() (*net.UnixConn, error)
}

// acceptSuccessors serves all processes that connect until ln is closed. Any other error is taken as temporary.
func (h *handover) acceptSuccessors(ln linkListener) {
	for {
		c, err := ln.AcceptUnix()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Warn("takeover", "path", h.socketPath, "error", err)
			time.Sleep(retryInterval)
		default:
			go h.serveSuccessor(takeover.NewLink(c))
		}
	}
}

func (h *handover) serveSuccessor(link *takeover.Link) {
	defer link.Abandon()
	link.SetReadDeadline(time.Now().Add(helloTimeout))
	if f, err := link.ReadFrame(); err != nil || f.Kind != frameHello {
		return
	}
	link.SetReadDeadline(time.Time{})
	if !h.registerSuccessor(link) { // it will try again and find the process that is there by then
		return
	}
	h.mu.Lock()
	updates, gone := h.successorUpdates, h.ids.gone
	h.mu.Unlock()
	slog.Info("takeover", "young", "here")
	h.watch.SetPresent(discovery.Successor) // what is read while the state is taken and sent waits for it to be sent
	err := link.Send(frameState, encode(h.state()), h.listener.(syscall.Conn))
	if err == nil {
		go updates.run(gone)
		err = link.Run(h.handleSuccessorFrame, func(body []byte) bool { return h.answerSuccessor(body, link) })
	}
	slog.Info("takeover", "young", "gone", "reason", err)
	h.core.ReleaseClaims()
	h.mu.Lock()
	wasReady, successorListener := h.successorReady, h.successorListener
	close(h.ids.gone)
	h.successor, h.successorReady, h.successorIDs, h.ids = nil, false, nil, nil
	h.successorUpdates = nil
	h.updateClaim()
	h.updateLimits()
	h.mu.Unlock()
	h.watch.SetGone(discovery.Successor)
	if !wasReady {
		return
	}
	h.core.SetReplaced(false)
	h.stopHandover()
	h.server.ResumeAccepting()
	successorListener.Close() // the successor may have replaced the socket at the path, so listen again
	go h.listenForSuccessors()
}

// registerSuccessor makes link the link to the successor, and reports whether it did. There is one successor at a time.
// A successor that is not ready after acceptTimeout, and may hang, is dropped to make room for the next one.
func (h *handover) registerSuccessor(link *takeover.Link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		if !h.successorReady && time.Since(h.successorSince) > acceptTimeout {
			h.successor.Close() // then its serveSuccessor clears h.successor
		}
		return false
	}
	h.successor, h.successorSince = link, time.Now()
	h.ids = &idReporter{core: h.core, link: link, gone: make(chan struct{})}
	h.successorUpdates = newUpdateSender(link) // before the state is taken, so that it has what comes after that
	h.updateLimits()
	return true
}

func (h *handover) handleSuccessorFrame(frame takeover.Frame) {
	if frame.File != nil {
		frame.File.Close()
	}
	switch frame.Kind {
	case frameReady:
		h.handleReady()
	case frameUpdate:
		h.receiveUpdate(discovery.Successor, frame.Body)
	case frameWatchRequest:
		h.watch.Request(string(frame.Body))
	}
}

// handleReady lets the successor, which accepts connections from now on, admit messages.
func (h *handover) handleReady() {
	h.mu.Lock()
	link, ids := h.successor, h.ids
	h.mu.Unlock()
	h.core.SetReplaced(true)
	// Before the limits, after which the successor admits messages:
	link.Send(frameColdWork, encode(h.core.ColdWork()), nil)
	ids.report()
	go ids.run()
	_, serverLimits := deriveLimits(h.config)
	h.server.PauseAccepting(serverLimits.MaxConns / 2)
	h.mu.Lock()
	h.successorReady, h.successorIDs = true, &idQuestions{link: link, process: "young"}
	h.updateClaim() // also before the limits
	h.updateLimits()
	h.mu.Unlock()
	go h.reportLimits(link)
}

// reportLimits notifies the successor of the limits as this process's connections become fewer.
func (h *handover) reportLimits(link *takeover.Link) {
	for last := h.server.OpenConns(); ; time.Sleep(limitsInterval) {
		h.mu.Lock()
		if h.successor != link {
			h.mu.Unlock()
			return
		}
		if now := h.server.OpenConns(); now != last {
			last = now
			h.updateLimits()
		}
		h.mu.Unlock()
	}
}
