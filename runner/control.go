package runner

import (
	"context"
	"time"

	"lagoonstile/controller"
)

// tickInterval is the interval at which the control state reads counters and
// makes decisions.
const tickInterval = 100 * time.Millisecond

// command is a function that the control goroutine runs on the control state.
type command func(now time.Time, state *controller.State)

// control gives other goroutines access to the control state, which only the
// control goroutine may use.
type control struct {
	state    *controller.State
	commands chan command
	// ended is closed when the control goroutine has ended.
	ended chan struct{}
}

func newControl(state *controller.State) *control {
	return &control{state: state, commands: make(chan command, 64), ended: make(chan struct{})}
}

// send queues a command. It reports false if the control goroutine has ended.
func (c *control) send(cmd command) bool {
	select {
	case c.commands <- cmd:
		return true
	case <-c.ended:
		return false
	}
}

// sendAndWait queues a command and waits until it has run. It reports false if
// the control goroutine has ended.
func (c *control) sendAndWait(cmd command) bool {
	done := make(chan struct{})
	sent := c.send(func(now time.Time, state *controller.State) {
		defer close(done)
		cmd(now, state)
	})
	if !sent {
		return false
	}
	select {
	case <-done:
		return true
	case <-c.ended:
		return false
	}
}

// runControl runs commands and ticks until the context ends. It is the control
// goroutine. After each event it publishes the routing table if it has changed.
func (i *Instance) runControl(ctx context.Context) {
	defer close(i.control.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	state := i.control.state
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-i.control.commands:
			cmd(time.Now(), state)
		case <-ticker.C:
			now := time.Now()
			state.Tick(now)
			i.peerSnapshot.Store(state.PeerSnapshot(now))
		}
		i.publishTable(state)
	}
}

func (i *Instance) publishTable(state *controller.State) {
	table := state.Table()
	previous := i.table.Load()
	if table == previous {
		return
	}
	newVersion := previous == nil || previous.Version != table.Version
	if newVersion {
		i.quotas.setAccounts(state.Accounts())
	}
	i.table.Store(table)
	if newVersion {
		i.log.Info("in-force", "version", table.Version)
	}
}
