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
	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/frontend"
	"topazfall/internal/takeover"
	"topazfall/internal/upstream"
)

const (
	helloTime = 2 * time.Second // for the first word of a process that asks for our place
	noteTime  = time.Second     // for a call-back to be taken by the other process
	holdTime  = 100 * time.Millisecond
)

// handover is this process's place between its predecessor, which it has replaced, and its successor.
type handover struct {
	config   *config.Config
	path     string // of the socket at which successors find this process
	listener net.Listener
	core     *dispatch.Core
	workers  *upstream.Side
	clients  *frontend.Side
	list     *discovery.Watch
	settings tenantSettings

	mu               sync.Mutex
	predecessor      *takeover.Link // nil where there is none, or no more
	predecessorHolds held
	successor        *takeover.Link // nil where there is none
	successorAccepts bool
	links            *net.UnixListener // where successors come
	longest          time.Duration     // a client's wait, by any settings that held
	successorCame    time.Time         // when the successor asked
}

// share sets the bounds from what the others have of the limits, and tells the successor; h.mu is held.
func (h *handover) share() {
	out, in := bounds(h.config)
	mine := held{Share: 1}
	if h.predecessor != nil {
		mine = h.predecessorHolds
	}
	if h.successor != nil {
		mine.Share /= 2
	}
	in.Conns = max(in.Conns-mine.Conns, 1)
	in.Messages = max(in.Conns*2/3, 1)
	in.Large = int(float64(in.Large) * mine.Share)
	h.clients.SetBounds(in)
	h.workers.SetConns(max(int(float64(out)*mine.Share), 1))
	within(h.config, mine.Share)
	if h.successorAccepts {
		h.successor.Send(frameHeld, encode(held{Conns: h.clients.Conns() + mine.Conns, Share: mine.Share}), nil)
	}
}

// errAnotherSucceeds is that the predecessor has given its place to another process meanwhile.
var errAnotherSucceeds = errors.New("another process takes the predecessor's place")

// succeed goes on in the predecessor's place: it says that this process accepts from now on, and returns once the
// predecessor has said what it keeps, has gone, or has had its time for that. It is an error where the predecessor has
// ended the link and still lives, or another process has taken its place: this one was too late, and takes nothing.
func (h *handover) succeed(predecessor *takeover.Link) error {
	h.mu.Lock()
	h.predecessor = predecessor
	_, in := bounds(h.config)
	h.predecessorHolds = held{Conns: in.Conns / 2, Share: 0.5}
	h.share()
	h.mu.Unlock()
	said, gone := make(chan struct{}), make(chan struct{})
	first := sync.OnceFunc(func() { close(said) })
	go func() {
		defer close(gone)
		err := predecessor.Run(func(f takeover.Frame) { h.fromPredecessor(f, first) },
			func(body []byte) bool { return h.answer(body, predecessor) })
		slog.Info("takeover", "old", "gone", "reason", err)
		h.mu.Lock()
		h.predecessor, h.predecessorHolds = nil, held{}
		h.share()
		h.mu.Unlock()
	}()
	predecessor.Send(frameReady, nil, nil)
	select {
	case <-said:
	case <-time.After(heldTime):
	case <-gone:
		select {
		case <-said: // it has gone right after
			return nil
		default:
		}
		if lives(h.path) {
			return errAnotherSucceeds
		}
	}
	return nil
}

// lives tells whether a process waits at path for others to replace it. One that has just ended may still seem to
// listen, but ends the connection instead of waiting for a first word.
func lives(path string) bool {
	l, err := takeover.Dial(path)
	if err != nil {
		return false
	}
	defer l.Abandon()
	l.SetReadDeadline(time.Now().Add(again))
	_, err = l.Next()
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (h *handover) fromPredecessor(f takeover.Frame, first func()) {
	switch f.Kind {
	case frameState: // it did not come in time: of what it says, the ids are still of use
		var state handoverState
		if decode(f.Body, &state) == nil {
			h.core.Learn(state.Core.Known)
		}
	case frameHeld:
		var now held
		if decode(f.Body, &now) == nil {
			h.mu.Lock()
			h.predecessorHolds = now
			h.share()
			h.mu.Unlock()
		}
		first()
	case frameKnownIDs:
		var ids []string
		if decode(f.Body, &ids) == nil {
			h.core.Learn(ids)
		}
	case frameConnection:
		var k keptConnection
		if f.File == nil || decode(f.Body, &k) != nil {
			break
		}
		nc, err := net.FileConn(f.File)
		if err != nil {
			slog.Warn("takeover", "error", err)
			break
		}
		h.mu.Lock() // it counts here now
		h.predecessorHolds.Conns = max(h.predecessorHolds.Conns-1, 0)
		h.share()
		h.mu.Unlock()
		if k.Begun != nil {
			h.clients.Continue(nc, *k.Begun, k.More)
			break
		}
		go h.clients.Adopt(nc, k.Proven, k.Client)
	}
	if f.File != nil {
		f.File.Close()
	}
}

// wait lets processes replace this one, one at a time.
func (h *handover) wait() {
	ln, err := takeover.Listen(h.path)
	if err != nil { // clients are served all the same; the next process will wait for this one's end
		slog.Warn("takeover", "path", h.path, "error", err)
		return
	}
	h.mu.Lock()
	h.links = ln
	h.mu.Unlock()
	h.acceptSuccessors(ln)
}

// linkListener is where processes come that want to replace this one.
type linkListener interface {
	AcceptUnix() (*net.UnixConn, error)
}

// acceptSuccessors meets all who come until ln is closed. Any other fault is one of the moment.
func (h *handover) acceptSuccessors(ln linkListener) {
	for {
		c, err := ln.AcceptUnix()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Warn("takeover", "path", h.path, "error", err)
			time.Sleep(again)
		default:
			go h.meet(takeover.New(c))
		}
	}
}

func (h *handover) meet(l *takeover.Link) {
	defer l.Abandon()
	l.SetReadDeadline(time.Now().Add(helloTime))
	if f, err := l.Next(); err != nil || f.Kind != frameHello {
		return
	}
	l.SetReadDeadline(time.Time{})
	if !h.admit(l) { // it tries again, and finds whoever of us is there then
		return
	}
	slog.Info("takeover", "young", "here")
	now := handoverState{h.list.Legacy(), h.core.Legacy(), h.workers.Legacy()}
	err := l.Send(frameState, encode(now), h.listener.(syscall.Conn))
	if err == nil {
		err = l.Run(h.fromSuccessor, func(body []byte) bool { return h.answer(body, l) })
	}
	slog.Info("takeover", "young", "gone", "reason", err)
	h.mu.Lock()
	accepted, links := h.successorAccepts, h.links
	h.successor, h.successorAccepts = nil, false
	h.share()
	h.mu.Unlock()
	if !accepted {
		return
	}
	h.core.Replaced(false)
	h.clients.KeepOn()
	h.clients.Resume()
	links.Close() // the path was the successor's, if it came so far
	go h.wait()
}

// admit makes l the link to the successor, and tells whether it is. There is one at a time; one that does not accept
// by its time, and may hang, has to go for the next.
func (h *handover) admit(l *takeover.Link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		if !h.successorAccepts && time.Since(h.successorCame) > acceptTime {
			h.successor.Close() // its own meet makes the place free
		}
		return false
	}
	h.successor, h.successorCame = l, time.Now()
	h.share()
	return true
}

func (h *handover) fromSuccessor(f takeover.Frame) {
	if f.File != nil {
		f.File.Close()
	}
	if f.Kind != frameReady {
		return
	}
	h.mu.Lock()
	l := h.successor
	h.successorAccepts = true
	h.mu.Unlock()
	h.core.Replaced(true)
	_, in := bounds(h.config)
	h.clients.Pause(in.Conns / 2)
	h.mu.Lock()
	h.share()
	h.mu.Unlock()
	go func() { // what this process holds becomes less
		for last := h.clients.Conns(); ; time.Sleep(holdTime) {
			h.mu.Lock()
			if h.successor != l {
				h.mu.Unlock()
				return
			}
			if now := h.clients.Conns(); now != last {
				last = now
				h.share()
			}
			h.mu.Unlock()
		}
	}()
}

// tell brings a call-back whose message is not in hand here to the other processes. That none of them has it is no
// error: it is over.
func (h *handover) tell(body []byte) error {
	_, err := h.ask(body, nil)
	return err
}

// answer takes a call-back that came from one process, or asks the one beyond.
func (h *handover) answer(body []byte, from *takeover.Link) bool {
	taken, err := h.workers.CallBack(body)
	if err == nil && !taken {
		taken, _ = h.ask(body, from)
	}
	return taken
}

// ask brings a call-back to all others but one. If none has its message that may have been on its way here, and have
// crossed the question: it came before the answer, and is here now.
func (h *handover) ask(body []byte, except *takeover.Link) (taken bool, err error) {
	if taken, err = h.askOthers(body, except); !taken && err == nil {
		taken, _ = h.workers.CallBack(body)
	}
	return taken, err
}

func (h *handover) askOthers(body []byte, except *takeover.Link) (taken bool, err error) {
	h.mu.Lock()
	links := [...]*takeover.Link{h.predecessor, h.successor}
	h.mu.Unlock()
	for _, l := range links {
		if l == nil || l == except {
			continue
		}
		took, fault := l.Ask(body, noteTime)
		if took {
			return true, nil
		}
		if fault == takeover.ErrSilent {
			err = fault
		}
	}
	return false, err
}
