package runner

import (
	"context"
	"fmt"
	"time"
)

// drainPoll is how often a draining instance looks whether it is idle.
const drainPoll = 20 * time.Millisecond

// DrainRequested returns a channel that is closed when an operator asks this
// instance to leave.
func (i *Instance) DrainRequested() <-chan struct{} { return i.drainRequested }

func (i *Instance) requestDrain() {
	i.drainOnce.Do(func() { close(i.drainRequested) })
}

// Drain leaves gracefully: out of entry answers, then no new connections, then
// idle, then gone. The end of the context cuts it short.
func (i *Instance) Drain(ctx context.Context) error {
	i.hidden.Store(true)
	i.log.Info("draining", "entry-validity", i.settings.EntryValidity)
	sleep(ctx, i.settings.EntryValidity)
	i.callers.Leave()
	for i.callers.Connections() > 0 && sleep(ctx, drainPoll) {
	}
	busy := i.callers.Busy()
	i.Stop()
	if busy > 0 {
		return fmt.Errorf("drain of %s: %d requests cut: %w", i.settings.Instance, busy, ctx.Err())
	}
	i.log.Info("left")
	return nil
}
