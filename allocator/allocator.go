// Package allocator puts the steerers of all services between the goroutines
// of requests: a goroutine asks for a server, waits for its turn, and says how
// the send ended. It is the steerers' only link to clocks and goroutines.
package allocator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/steerer"
)

// Allocator holds one steerer for each service. Use New.
type Allocator struct {
	rules  steerer.Rules
	near   lagoonstile.FailureDomain
	urgent func(lagoonstile.ServiceID, steerer.Report)
	// Changed is called for each change of mind about a server; it must not
	// block. It may be nil and must be set before the first request.
	Changed func(steerer.Change)

	mu       sync.Mutex
	services map[lagoonstile.ServiceID]*steerer.Service
	fleet    steerer.Fleet
}

// New returns an allocator without servers. The urgent function is called for
// each failure that peers should hear of at once; it must not block.
func New(rules steerer.Rules, near lagoonstile.FailureDomain, urgent func(lagoonstile.ServiceID, steerer.Report)) *Allocator {
	return &Allocator{
		rules:    rules,
		near:     near,
		urgent:   urgent,
		services: make(map[lagoonstile.ServiceID]*steerer.Service),
	}
}

// SetBackends takes all registered servers.
func (a *Allocator) SetBackends(backends []lagoonstile.Backend) {
	byService := make(map[lagoonstile.ServiceID][]lagoonstile.Backend)
	for _, backend := range backends {
		byService[backend.Service] = append(byService[backend.Service], backend)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range byService {
		a.service(id)
	}
	for id, service := range a.services {
		wake(service.SetBackends(time.Now(), byService[id]))
	}
}

// service returns the steerer of a service, made on first use.
func (a *Allocator) service(id lagoonstile.ServiceID) *steerer.Service {
	if a.services[id] == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		a.services[id] = steerer.New(a.rules, a.near, random)
		a.services[id].SetFleet(a.fleet)
	}
	return a.services[id]
}

// ErrRefused says that no server will come in time for a ticket.
var ErrRefused = errors.New("no server will have room in time")

// Acquire waits until the ticket has a server. The caller must settle it. The
// error is ErrRefused, at once, or that of the context; the ticket's Wait then
// says after which time there may be room.
func (a *Allocator) Acquire(ctx context.Context, id lagoonstile.ServiceID, ticket *steerer.Ticket) error {
	ticket.Granted = make(chan struct{}, 1)
	if a.arrive(id, ticket) {
		return nil
	}
	if ticket.Refused {
		return ErrRefused
	}
	select {
	case <-ticket.Granted:
		return nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	service := a.service(id)
	if service.Cancel(ticket) {
		ticket.Wait = service.Outlook(time.Now(), service.Waiting())
		return ctx.Err()
	}
	// The grant came while we gave up.
	return nil
}

// Overdue notes that a request has been at a server for too long.
func (a *Allocator) Overdue(id lagoonstile.ServiceID, server *steerer.Server) {
	a.mu.Lock()
	service := a.service(id)
	service.Overdue(time.Now(), server)
	a.tellChanges(service)
	report := server.Report()
	a.mu.Unlock()
	a.urgent(id, report)
}

func (a *Allocator) arrive(id lagoonstile.ServiceID, ticket *steerer.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service(id).Arrive(time.Now(), ticket)
}

// Slow returns how long a send takes that takes much longer than sends do.
func (a *Allocator) Slow(id lagoonstile.ServiceID) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service(id).Slow()
}

// Hedge returns after which time a second server is worth trying as well.
func (a *Allocator) Hedge(id lagoonstile.ServiceID, objective time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service(id).Hedge(objective)
}

// Settle says how the send of a granted ticket ended, and how long it took.
func (a *Allocator) Settle(id lagoonstile.ServiceID, server *steerer.Server, outcome steerer.Outcome, took time.Duration) {
	a.mu.Lock()
	service := a.service(id)
	wake(service.Settle(time.Now(), server, outcome, took))
	a.tellChanges(service)
	report := server.Report()
	a.mu.Unlock()
	switch outcome {
	case steerer.OutcomeBad, steerer.OutcomeSilent, steerer.OutcomeGone:
		a.urgent(id, report)
	}
}

// tellChanges must be called with the lock held.
func (a *Allocator) tellChanges(service *steerer.Service) {
	for _, change := range service.Changes() {
		if a.Changed != nil {
			a.Changed(change)
		}
	}
}

// Hear takes in what a peer says of servers.
func (a *Allocator) Hear(from steerer.Peer, reports []steerer.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, report := range reports {
		for _, service := range a.services {
			known, granted := service.Hear(now, from, report)
			wake(granted)
			if known {
				a.tellChanges(service)
				break
			}
		}
	}
}

// Reports returns what peers should hear of servers that changed since the
// given time.
func (a *Allocator) Reports(since time.Time) []steerer.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []steerer.Report
	for _, service := range a.services {
		reports = append(reports, service.Reports(since)...)
	}
	return reports
}

// SetFleet says which place this instance has among the live ones.
func (a *Allocator) SetFleet(fleet steerer.Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = fleet
	for _, service := range a.services {
		service.SetFleet(fleet)
	}
}

// Tick lets go what can go because time has passed.
func (a *Allocator) Tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, service := range a.services {
		wake(service.Tick(time.Now()))
	}
}

// Load returns the servers of a service that may be used and how many requests
// wait for one.
func (a *Allocator) Load(id lagoonstile.ServiceID) (servers, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	service := a.service(id)
	return service.Servers(time.Now()), service.Waiting()
}

// wake tells waiting goroutines. A channel holds its only message.
func wake(granted []*steerer.Ticket) {
	for _, ticket := range granted {
		ticket.Granted <- struct{}{}
	}
}
