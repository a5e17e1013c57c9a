package instance

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"topazfall/internal/config"
	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/frontend"
	"topazfall/internal/takeover"
	"topazfall/internal/upstream"
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

	stateKeeper StateKeeper // nil for none

	mu                 sync.Mutex
	predecessor        *takeover.Link // nil if there is none, or no longer
	predecessorIDs     *idQuestions   // to the predecessor; nil if there is none, or no longer
	predecessorLimits  heldLimits
	predecessorUpdates *updateSender     // nil if there is no predecessor
	successor          *takeover.Link    // nil if there is none
	successorReady     bool              // the successor accepts connections
	successorIDs       *idQuestions      // to the successor; nil unless it accepts connections
	ids                *idReporter       // for the successor; nil if there is none
	successorListener  *net.UnixListener // at socketPath
	successorUpdates   *updateSender     // nil if there is no successor
	maxWait            time.Duration     // the longest wait of a client under any settings so far
	longestDeadline    time.Duration     // of the classes in the present settings
	successorSince     time.Time         // when the successor connected
}

// state returns the state of this process for a successor. The list comes before the extension's state about it: a
// host that is withdrawn in between is then withdrawn there, and a host that comes back is told again.
func (h *handover) state() handoverState {
	state := handoverState{List: h.watch.HandoverState(), Core: h.core.HandoverState(),
		Addresses: h.transport.HandoverState()}
	if h.stateKeeper != nil {
		state.Extension = h.stateKeeper.HandoverState()
	}
	return state
}

// restoreLate takes what is still useful of a predecessor's state that came too late.
func (h *handover) restoreLate(state handoverState) {
	h.core.AddKnownIDs(state.Core.Known)
	if h.stateKeeper == nil || len(state.Extension) == 0 {
		return
	}
	if err := h.stateKeeper.RestoreHandover(state.Extension); err != nil {
		slog.Error("takeover", "error", err)
	}
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
	serverLimits.RequestMemory = int64(float64(serverLimits.RequestMemory) * held.Share)
	h.server.SetLimits(serverLimits)
	h.transport.SetMaxConns(max(int(float64(maxUpstreamConns)*held.Share), 1))
	setMemoryLimit(h.config, held.Share)
	if h.successorReady {
		h.successor.Send(frameLimits,
			encode(heldLimits{Conns: h.server.OpenConns() + held.Conns, Share: held.Share}), nil)
	}
}
