package instance

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"topazfall/internal/config"
	"topazfall/internal/decide/ramp"
	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/frontend"
	"topazfall/internal/takeover"
	"topazfall/internal/upstream"
)

const (
	helloTimeout    = 2 * time.Second        // for the first frame of a process that wants to replace this one
	callbackTimeout = time.Second            // for the other process to answer a forwarded callback
	limitsInterval  = 100 * time.Millisecond // between two checks whether the number of connections has changed
)

// handover connects this process with its predecessor, which it replaces, and with its successor.
type handover struct {
	config     *config.Config
	socketPath string // where successors connect to this process
	listener   net.Listener
	core       *dispatch.Core
	transport  *upstream.Transport
	server     *frontend.Server
	watch      *discovery.Watch
	settings   tenantSettings

	mu                sync.Mutex
	predecessor       *takeover.Link // nil if there is none, or no longer
	predecessorLimits heldLimits
	successor         *takeover.Link    // nil if there is none
	successorReady    bool              // the successor accepts connections
	ids               *idReporter       // for the successor; nil if there is none
	successorListener *net.UnixListener // at socketPath
	maxWait           time.Duration     // the longest wait of a client under any settings so far
	longestDeadline   time.Duration     // of the classes in the present settings
	successorSince    time.Time         // when the successor connected
}

// updateLimits sets the limits of this process to what its predecessor and successor leave of the configured ones, and
// notifies the successor. The caller holds h.mu.
func (h *handover) updateLimits() {
	maxUpstreamConns, serverLimits := deriveLimits(h.config)
	held := heldLimits{Share: 1}
	if h.predecessor != nil {
		held = h.predecessorLimits
	}
	if h.successor != nil {
		held.Share /= 2
	}
	serverLimits.MaxConns = max(serverLimits.MaxConns-held.Conns, 1)
	serverLimits.MaxMessages = max(serverLimits.MaxConns*2/3, 1)
	serverLimits.MaxLargeRequests = int(float64(serverLimits.MaxLargeRequests) * held.Share)
	h.server.SetLimits(serverLimits)
	h.transport.SetMaxConns(max(int(float64(maxUpstreamConns)*held.Share), 1))
	setMemoryLimit(h.config, held.Share)
	if h.successorReady {
		h.successor.Send(frameLimits,
			encode(heldLimits{Conns: h.server.OpenConns() + held.Conns, Share: held.Share}), nil)
	}
}

// errReplacedByAnother means that the predecessor has been replaced by another process in the meantime.
var errReplacedByAnother = errors.New("another process takes the predecessor's place")

// replacePredecessor notifies the predecessor that this process accepts connections from now on. It returns when the
// predecessor has sent its limits or closed the link, or after limitsTimeout. It is an error if the predecessor has
// closed the link and a process still serves at the socket, the predecessor itself or another successor: then this
// process was too late and must not accept.
func (h *handover) replacePredecessor(predecessor *takeover.Link) error {
	h.mu.Lock()
	h.predecessor = predecessor
	_, serverLimits := deriveLimits(h.config)
	h.predecessorLimits = heldLimits{Conns: serverLimits.MaxConns / 2, Share: 0.5}
	h.updateLimits()
	h.mu.Unlock()
	h.core.SetClaim(h.claimID)
	limitsKnown, linkClosed := make(chan struct{}), make(chan struct{})
	setLimitsKnown := sync.OnceFunc(func() { close(limitsKnown) })
	go func() {
		defer close(linkClosed)
		err := predecessor.Run(func(f takeover.Frame) { h.handlePredecessorFrame(f, setLimitsKnown) },
			func(body []byte) bool { return h.answerCallback(body, predecessor) })
		slog.Info("takeover", "old", "gone", "reason", err)
		h.mu.Lock()
		h.predecessor, h.predecessorLimits = nil, heldLimits{}
		h.updateLimits()
		h.mu.Unlock()
		h.core.SetClaim(nil)
	}()
	predecessor.Send(frameReady, nil, nil)
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
	case frameState: // the state came too late, but its message ids are still useful
		var state handoverState
		if decode(frame.Body, &state) == nil {
			h.core.AddKnownIDs(state.Core.Known)
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
	case frameConnection:
		var kept handoverConnection
		if frame.File == nil || decode(frame.Body, &kept) != nil {
			break
		}
		conn, err := net.FileConn(frame.File)
		if err != nil {
			slog.Warn("takeover", "error", err)
			break
		}
		h.mu.Lock() // the connection now counts as this process's
		h.predecessorLimits.Conns = max(h.predecessorLimits.Conns-1, 0)
		h.updateLimits()
		h.mu.Unlock()
		if kept.Begun != nil {
			h.server.ResumeMessage(conn, *kept.Begun, kept.More)
			break
		}
		go h.server.AdoptConn(conn, kept.Proven, kept.Client)
	}
	if frame.File != nil {
		frame.File.Close()
	}
}

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
	slog.Info("takeover", "young", "here")
	state := handoverState{h.watch.HandoverState(), h.core.HandoverState(), h.transport.HandoverState()}
	err := link.Send(frameState, encode(state), h.listener.(syscall.Conn))
	if err == nil {
		err = link.Run(h.handleSuccessorFrame, func(body []byte) bool { return h.answerSuccessor(body, link) })
	}
	slog.Info("takeover", "young", "gone", "reason", err)
	h.core.ReleaseClaims()
	h.mu.Lock()
	wasReady, successorListener := h.successorReady, h.successorListener
	close(h.ids.gone)
	h.successor, h.successorReady, h.ids = nil, false, nil
	h.updateLimits()
	h.mu.Unlock()
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
	h.updateLimits()
	return true
}

func (h *handover) handleSuccessorFrame(frame takeover.Frame) {
	if frame.File != nil {
		frame.File.Close()
	}
	if frame.Kind != frameReady {
		return
	}
	h.mu.Lock()
	link, ids := h.successor, h.ids
	h.successorReady = true
	h.mu.Unlock()
	h.core.SetReplaced(true)
	// Before the limits, after which the successor admits messages:
	link.Send(frameColdWork, encode(h.core.ColdWork()), nil)
	ids.report()
	go ids.run()
	_, serverLimits := deriveLimits(h.config)
	h.server.PauseAccepting(serverLimits.MaxConns / 2)
	h.mu.Lock()
	h.updateLimits()
	h.mu.Unlock()
	go func() { // report the limits as this process's connections become fewer
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
	}()
}

// forwardCallback passes a callback whose message is not in flight here to the other processes. If none of them has
// the message, it has ended, which is not an error.
func (h *handover) forwardCallback(body []byte) error {
	_, err := h.askOthers(body, nil)
	return err
}

// answerCallback handles a callback from a linked process, or asks the process on the other side. It reports whether
// the message was found.
func (h *handover) answerCallback(body []byte, from *takeover.Link) bool {
	taken, err := h.transport.HandleCallback(body)
	if err == nil && !taken {
		taken, _ = h.askOthers(body, from)
	}
	return taken
}

// askOthers passes a callback to all linked processes except one. If none has its message, the message may have been
// handed over to this process while the question was on its way. It then arrived before the answer, so this process is
// asked again.
func (h *handover) askOthers(body []byte, except *takeover.Link) (taken bool, err error) {
	if taken, err = h.askLinks(body, except); !taken && err == nil {
		taken, _ = h.transport.HandleCallback(body)
	}
	return taken, err
}

func (h *handover) askLinks(body []byte, except *takeover.Link) (taken bool, err error) {
	h.mu.Lock()
	links := [...]*takeover.Link{h.predecessor, h.successor}
	h.mu.Unlock()
	for _, link := range links {
		if link == nil || link == except {
			continue
		}
		accepted, linkErr := link.Ask(body, callbackTimeout)
		if accepted {
			return true, nil
		}
		if linkErr == takeover.ErrNoReply {
			err = linkErr
		}
	}
	return false, err
}
