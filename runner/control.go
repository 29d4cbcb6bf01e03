package runner

import (
	"context"
	"time"

	"lagoonstile/controller"
)

// tickInterval is how often counts are read and decisions made.
const tickInterval = 100 * time.Millisecond

// command is something to do with the control state, on its own goroutine.
type command func(now time.Time, state *controller.State)

// control is the goroutine that owns the control state.
type control struct {
	state    *controller.State
	commands chan command
	ended    chan struct{}
}

func newControl(state *controller.State) *control {
	return &control{state: state, commands: make(chan command, 64), ended: make(chan struct{})}
}

// send queues a command. It reports false when the goroutine has ended.
func (c *control) send(do command) bool {
	select {
	case c.commands <- do:
		return true
	case <-c.ended:
		return false
	}
}

// ask runs a command and waits until it is done.
func (c *control) ask(do command) bool {
	done := make(chan struct{})
	sent := c.send(func(now time.Time, state *controller.State) {
		defer close(done)
		do(now, state)
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

// runControl is the control goroutine. After each event the table that
// follows from it is published.
func (i *Instance) runControl(ctx context.Context) {
	defer close(i.control.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	state := i.control.state
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-i.control.commands:
			do(time.Now(), state)
		case <-ticker.C:
			now := time.Now()
			state.Tick(now)
			i.cell.Store(state.Cell(now))
		}
		i.publish(state)
	}
}

func (i *Instance) publish(state *controller.State) {
	table := state.Table()
	past := i.table.Load()
	if table == past {
		return
	}
	i.table.Store(table)
	if past == nil || past.Version != table.Version {
		i.log.Info("in-force", "version", table.Version)
	}
}
