package instance

// What the processes of a replacement tell each other of discovery's list.

import (
	"log/slog"
	"sync/atomic"

	"topazfall/internal/discovery"
	"topazfall/internal/takeover"
)

// maxUnsentUpdates is how many updates may wait for a process that does not read.
const maxUnsentUpdates = 64

// updateSender sends updates of discovery's list over a link, without making its caller wait.
type updateSender struct {
	link    *takeover.Link
	updates chan discovery.Update
	unsent  atomic.Int64 // updates that are queued or being sent
	failed  atomic.Bool  // an update is missing, and so are all later ones
}

func newUpdateSender(link *takeover.Link) *updateSender {
	return &updateSender{link: link, updates: make(chan discovery.Update, maxUnsentUpdates)}
}

// send queues an update. The other process notices missing ones by their versions, or by their absence.
func (s *updateSender) send(update discovery.Update) bool {
	if s.failed.Load() {
		return false
	}
	s.unsent.Add(1)
	select {
	case s.updates <- update:
		return true
	default:
		s.unsent.Add(-1)
		s.failed.Store(true)
		slog.Warn("takeover", "updates", "unread")
		return false
	}
}

// run sends the queued updates until the link's process has ended.
func (s *updateSender) run(gone <-chan struct{}) {
	for {
		select {
		case <-gone:
			return
		case update := <-s.updates:
			err := s.link.Send(frameUpdate, encode(update), nil)
			s.unsent.Add(-1)
			if err != nil {
				s.failed.Store(true)
				return
			}
		}
	}
}

// isSent reports whether the other process has all updates, or will get no more.
func (s *updateSender) isSent() bool { return s == nil || s.failed.Load() || s.unsent.Load() == 0 }

// SendUpdate implements discovery.OtherProcesses.
func (h *handover) SendUpdate(to discovery.Process, update discovery.Update) bool {
	h.mu.Lock()
	sender := h.successorUpdates
	if to == discovery.Predecessor {
		sender = h.predecessorUpdates
	}
	h.mu.Unlock()
	return sender != nil && sender.send(update)
}

// RequestWatch implements discovery.OtherProcesses.
func (h *handover) RequestWatch(addr string) {
	h.mu.Lock()
	link := h.predecessor
	h.mu.Unlock()
	if link != nil {
		go link.Send(frameWatchRequest, []byte(addr), nil)
	}
}

// receiveUpdate passes an update from another process on to the watch.
func (h *handover) receiveUpdate(from discovery.Process, body []byte) {
	var update discovery.Update
	if err := decode(body, &update); err != nil {
		slog.Warn("takeover", "update", "unreadable", "error", err)
		return
	}
	h.watch.Receive(from, update)
}
