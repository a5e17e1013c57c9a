package instance

// Callbacks about messages that another process may have in flight.

import (
	"time"

	"topazfall/internal/takeover"
)

const callbackTimeout = time.Second // for the other process to answer a forwarded callback

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
