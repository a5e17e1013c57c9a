package agent

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"topazfall/internal/instance"
	"topazfall/internal/withdrawn"
)

// HandoverState returns the hosts that the roster has withdrawn, for a successor. It has the form of the saved ones.
func (a *Agent) HandoverState() []byte {
	state, _ := a.hostList.Withdrawals()
	body, err := withdrawn.Encode(state, withdrawn.Now())
	if err != nil { // only for an unsupported type, which the tests would find
		slog.Error("withdrawn", "error", err)
	}
	return body
}

// RestoreHandover takes the state of a predecessor that HandoverState has returned there.
func (a *Agent) RestoreHandover(state []byte) error {
	withdrawals, err := withdrawn.Decode(state, withdrawn.Now())
	if err != nil {
		return fmt.Errorf("withdrawn hosts of the predecessor: %w", err)
	}
	a.hostList.RestoreWithdrawals(withdrawals)
	a.withdrawn.SetInherited()
	slog.Info("withdrawn", "state", "handed-over", "hosts", len(withdrawals.Hosts))
	return nil
}

// Stored reports whether all that the roster has withdrawn is saved, or kept by the predecessor that told it. It waits
// for that up to limit.
func (a *Agent) Stored(limit time.Duration) bool { return a.withdrawn.AwaitSaved(limit) }

// restoreWithdrawals restores the hosts that the roster has withdrawn, before any host that DNS lists: as the
// predecessor has them, or else as they were saved. Without discovery there is no roster, and nobody could list a
// withdrawn host as up again.
func (a *Agent) restoreWithdrawals(predecessor []byte) {
	a.withdrawn = withdrawn.NewFile(a.options.State, a.hostList)
	if a.dependencies.Config.Discovery == instance.NoDiscovery {
		return
	}
	if len(predecessor) > 0 {
		err := a.RestoreHandover(predecessor)
		if err == nil {
			return
		}
		slog.Error("withdrawn", "error", err)
	}
	withdrawals, err := a.withdrawn.Load()
	if err != nil {
		slog.Error("withdrawn", "state", "unreadable", "consequence", "hosts that DNS alone lists are not used",
			"error", err)
	}
	a.hostList.RestoreWithdrawals(withdrawals)
	a.withdrawn.SetInherited()
	if len(withdrawals.Hosts) > 0 {
		slog.Info("withdrawn", "state", "restored", "hosts", len(withdrawals.Hosts))
	}
}

// saveWithdrawals saves the withdrawn hosts at each change, once this process owns the folder, until ctx ends.
func (a *Agent) saveWithdrawals(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.store.LockAcquired():
		a.withdrawn.Run(ctx.Done())
	}
}

// saveLastWithdrawals saves the withdrawn hosts as this process leaves them, if it owns the folder.
func (a *Agent) saveLastWithdrawals() {
	select {
	case <-a.store.LockAcquired():
	default:
		return
	}
	if err := a.withdrawn.Save(); err != nil {
		slog.Error("withdrawn", "state", "unsaved", "error", err)
	}
}
