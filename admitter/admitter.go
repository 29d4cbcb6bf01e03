// Package admitter limits the number of concurrent requests. A goroutine calls
// Admit before it runs a request, waits until the scheduler admits the request,
// and releases its slot afterwards. The package connects the scheduler, which is
// pure, to the system clock and to goroutines.
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/scheduler"
)

// ErrShed means that the scheduler rejected the request or that its deadline passed
// before it was admitted. The request was not run.
var ErrShed = errors.New("shed")

// Gate admits requests in the order that a scheduler determines. It is safe for
// concurrent use.
type Gate struct {
	mu    sync.Mutex
	queue *scheduler.Queue
}

// New returns a gate that admits at most capacity requests at the same time.
func New(capacity int, shares scheduler.Shares) *Gate {
	return &Gate{queue: scheduler.New(capacity, shares)}
}

// Admit waits until the request may run, but not beyond its deadline. The returned
// function must be called once when the request has ended. The error is ErrShed or
// the error of the context.
func (g *Gate) Admit(ctx context.Context, rank lagoonstile.Rank, caller lagoonstile.CallerID, deadline time.Time) (func(), error) {
	ticket := &scheduler.Ticket{Rank: rank, Caller: caller, Deadline: deadline, Decided: make(chan scheduler.Decision, 1)}
	switch g.submit(ticket) {
	case scheduler.DecisionRun:
		return func() { g.release(ticket) }, nil
	case scheduler.DecisionShed:
		return nil, ErrShed
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case decision := <-ticket.Decided:
		return g.admitResult(ticket, decision)
	case <-timer.C:
	case <-ctx.Done():
	}
	if g.cancel(ticket) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, ErrShed
	}
	// The scheduler decided on the ticket before it could be cancelled.
	return g.admitResult(ticket, <-ticket.Decided)
}

// Resize changes the capacity. Requests that are running are not affected.
func (g *Gate) Resize(capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Capacity() != capacity {
		deliverDecisions(g.queue.Resize(time.Now(), capacity))
	}
}

// Load returns the numbers of running and of waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rank := range lagoonstile.Ranks() {
		waiting += g.queue.Waiting(rank)
	}
	return g.queue.Running(), waiting
}

// admitResult converts the decision on a ticket to the results of Admit.
func (g *Gate) admitResult(ticket *scheduler.Ticket, decision scheduler.Decision) (func(), error) {
	if decision == scheduler.DecisionShed {
		return nil, ErrShed
	}
	return func() { g.release(ticket) }, nil
}

func (g *Gate) submit(ticket *scheduler.Ticket) scheduler.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision, actions := g.queue.Submit(time.Now(), ticket)
	deliverDecisions(actions)
	return decision
}

func (g *Gate) release(ticket *scheduler.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	deliverDecisions(g.queue.Release(time.Now(), ticket))
}

func (g *Gate) cancel(ticket *scheduler.Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Cancel(ticket)
}

// deliverDecisions sends each decision to the goroutine that waits for it. It does
// not block: a ticket gets one decision, and its Decided channel has room for it.
func deliverDecisions(actions []scheduler.Action) {
	for _, action := range actions {
		action.Ticket.Decided <- action.Decision
	}
}
