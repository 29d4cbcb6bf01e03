// Package admitter puts a scheduler between traffic goroutines and a limited
// capacity: a goroutine asks to be admitted, waits for its turn, and gives its
// place back. It is the scheduler's only link to clocks and goroutines.
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/scheduler"
)

// ErrShed is returned to a request that could not be admitted in time. It was
// not run.
var ErrShed = errors.New("shed")

// Gate admits requests in the order that a scheduler decides.
type Gate struct {
	mu    sync.Mutex
	queue *scheduler.Queue
}

// New returns a gate that lets through capacity requests at once.
func New(capacity int, shares scheduler.Shares) *Gate {
	return &Gate{queue: scheduler.New(capacity, shares)}
}

// Admit waits until the request may run. The caller must call the returned
// function once when the request has ended. The error is ErrShed or that of
// the context.
func (g *Gate) Admit(ctx context.Context, rank lagoonstile.Rank, caller lagoonstile.CallerID, deadline time.Time) (func(), error) {
	ticket := &scheduler.Ticket{Rank: rank, Caller: caller, Deadline: deadline, Grant: make(chan scheduler.Decision, 1)}
	switch g.arrive(ticket) {
	case scheduler.DecisionRun:
		return func() { g.release(ticket) }, nil
	case scheduler.DecisionShed:
		return nil, ErrShed
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case decision := <-ticket.Grant:
		return g.decided(ticket, decision)
	case <-timer.C:
	case <-ctx.Done():
	}
	if g.cancel(ticket) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, ErrShed
	}
	// The decision was made while we gave up.
	return g.decided(ticket, <-ticket.Grant)
}

// Resize changes the capacity.
func (g *Gate) Resize(capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Capacity() != capacity {
		deliver(g.queue.Resize(time.Now(), capacity))
	}
}

// Load returns how many requests run and how many wait.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rank := range lagoonstile.Ranks() {
		waiting += g.queue.Waiting(rank)
	}
	return g.queue.Running(), waiting
}

func (g *Gate) decided(ticket *scheduler.Ticket, decision scheduler.Decision) (func(), error) {
	if decision == scheduler.DecisionShed {
		return nil, ErrShed
	}
	return func() { g.release(ticket) }, nil
}

func (g *Gate) arrive(ticket *scheduler.Ticket) scheduler.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision, actions := g.queue.Submit(time.Now(), ticket)
	deliver(actions)
	return decision
}

func (g *Gate) release(ticket *scheduler.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	deliver(g.queue.Release(time.Now(), ticket))
}

func (g *Gate) cancel(ticket *scheduler.Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Cancel(ticket)
}

// deliver tells waiting goroutines. A grant channel holds its only message.
func deliver(actions []scheduler.Action) {
	for _, action := range actions {
		action.Ticket.Grant <- action.Decision
	}
}
