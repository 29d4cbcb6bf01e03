// Package allocator lets concurrent requests use the steerers of all services. A
// goroutine acquires a server for its request, waiting if necessary, and reports
// the outcome afterwards. The steerers get locking and the current time only from
// this package.
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

// Allocator holds one steerer per service. It is safe for concurrent use. Create it
// with New.
type Allocator struct {
	model       steerer.FaultModel
	localDomain lagoonstile.FailureDomain
	reportNow   func(lagoonstile.ServiceID, steerer.Report)
	// OnChange is called with the lock held for each change of the belief about a
	// server. It must not block or call the Allocator. It may be nil, and must be
	// set before the first request.
	OnChange func(steerer.BeliefChange)

	mu       sync.Mutex
	services map[lagoonstile.ServiceID]*steerer.Service
	fleet    steerer.FleetPosition
	closed   bool
}

// New returns an allocator without servers for an instance in the given failure
// domain. It calls reportNow, which must not block, with each report that peers
// should receive immediately: those on failures, on servers that are leaving, and news
// of the load of busy servers.
func New(model steerer.FaultModel, localDomain lagoonstile.FailureDomain, reportNow func(lagoonstile.ServiceID, steerer.Report)) *Allocator {
	return &Allocator{
		model:       model,
		localDomain: localDomain,
		reportNow:   reportNow,
		services:    make(map[lagoonstile.ServiceID]*steerer.Service),
	}
}

// SetBackends replaces the registered servers of all services.
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

// service returns the steerer of a service, creating it on first use. The lock must
// be held.
func (a *Allocator) service(id lagoonstile.ServiceID) *steerer.Service {
	if a.services[id] == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		a.services[id] = steerer.New(a.model, a.localDomain, random)
		a.services[id].SetFleetPosition(a.fleet)
	}
	return a.services[id]
}

// ErrRefused is returned by Acquire if no server will be available in time.
var ErrRefused = errors.New("no server will be available in time")

// Acquire waits until the ticket is granted a server; the caller must then call
// Settle. It returns ErrRefused as soon as it shows that no server will be available
// in time, or the context's error if the context ends first. In both cases the
// ticket's RetryAfter is the estimated time until a server may be available.
func (a *Allocator) Acquire(ctx context.Context, id lagoonstile.ServiceID, ticket *steerer.Ticket) error {
	ticket.Granted = make(chan struct{}, 1)
	if ended := a.submit(id, ticket); ended {
		return errorOf(ticket)
	}
	select {
	case <-ticket.Granted:
		return errorOf(ticket)
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	service := a.service(id)
	if service.Cancel(ticket) {
		ticket.RetryAfter = service.ExpectedWait(time.Now(), service.Waiting())
		return ctx.Err()
	}
	// The ticket was granted or refused while the context ended.
	return errorOf(ticket)
}

// errorOf returns ErrRefused if the ticket was refused.
func errorOf(ticket *steerer.Ticket) error {
	if ticket.Refused {
		return ErrRefused
	}
	return nil
}

// ObserveFailure counts a failure of a server apart from the outcome of an attempt
// (see steerer.Service.ObserveFailure), and reports it to peers.
func (a *Allocator) ObserveFailure(id lagoonstile.ServiceID, server *steerer.Server) {
	a.mu.Lock()
	service := a.service(id)
	service.ObserveFailure(time.Now(), server)
	a.notifyChanges(service)
	report := server.Report()
	a.mu.Unlock()
	a.reportNow(id, report)
}

// submit reports whether the ticket was granted a server or refused. Otherwise it
// waits, and must not be read without the lock before a message from Granted.
func (a *Allocator) submit(id lagoonstile.ServiceID, ticket *steerer.Ticket) bool {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		ticket.Refused = true
		return true
	}
	service := a.service(id)
	ended := service.Submit(time.Now(), ticket) || ticket.Refused
	a.unlockAndTell(id, service.News())
	return ended
}

// Close refuses all waiting and later tickets.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, service := range a.services {
		wake(service.RefuseWaiting())
	}
}

// SlowThreshold returns the duration after which a request to the service is slow
// compared with the mean latency.
func (a *Allocator) SlowThreshold(id lagoonstile.ServiceID) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service(id).SlowThreshold()
}

// HedgeDelay returns the time after which a request with the given latency objective
// should be hedged by sending it to a second server as well.
func (a *Allocator) HedgeDelay(id lagoonstile.ServiceID, objective time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service(id).HedgeDelay(objective)
}

// Settle records the outcome and duration of the attempt that a server was granted
// for. It reports a server that failed or is leaving to peers immediately.
func (a *Allocator) Settle(id lagoonstile.ServiceID, server *steerer.Server, outcome steerer.Outcome, took time.Duration) {
	a.mu.Lock()
	service := a.service(id)
	wake(service.Settle(time.Now(), server, outcome, took))
	a.notifyChanges(service)
	reports := service.News()
	switch outcome {
	case steerer.OutcomeBad, steerer.OutcomeTimeout, steerer.OutcomeGone:
		reports = append(reports, server.Report())
	}
	a.unlockAndTell(id, reports)
}

// unlockAndTellAll releases the lock and passes the reports on servers of several
// services to reportNow.
func (a *Allocator) unlockAndTellAll(news map[lagoonstile.ServiceID][]steerer.Report) {
	a.mu.Unlock()
	for id, reports := range news {
		for _, report := range reports {
			a.reportNow(id, report)
		}
	}
}

// unlockAndTell releases the lock and passes reports on a service's servers to
// reportNow.
func (a *Allocator) unlockAndTell(id lagoonstile.ServiceID, reports []steerer.Report) {
	a.mu.Unlock()
	for _, report := range reports {
		a.reportNow(id, report)
	}
}

// Heed makes a service act on a notice in a response of a server (see
// steerer.Service.Heed), and tells peers at once that a server is leaving.
func (a *Allocator) Heed(id lagoonstile.ServiceID, server *steerer.Server, notice steerer.Notice) {
	a.mu.Lock()
	a.service(id).Heed(time.Now(), server, notice)
	report := server.Report()
	a.mu.Unlock()
	if notice.Leaving {
		a.reportNow(id, report)
	}
}

// notifyChanges passes new changes to OnChange. The lock must be held.
func (a *Allocator) notifyChanges(service *steerer.Service) {
	for _, change := range service.Changes() {
		if a.OnChange != nil {
			a.OnChange(change)
		}
	}
}

// ReceiveReports applies a peer's reports on servers. Reports on unknown servers are
// ignored.
func (a *Allocator) ReceiveReports(from steerer.Peer, reports []steerer.Report) {
	a.mu.Lock()
	now := time.Now()
	news := make(map[lagoonstile.ServiceID][]steerer.Report)
	for _, report := range reports {
		for id, service := range a.services {
			known, granted := service.ReceiveReport(now, from, report)
			wake(granted)
			if known {
				a.notifyChanges(service)
				news[id] = append(news[id], service.News()...)
				break
			}
		}
	}
	a.unlockAndTellAll(news)
}

// Reports returns a report on each server with an event since the given time that
// must be reported to peers.
func (a *Allocator) Reports(since time.Time) []steerer.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []steerer.Report
	for _, service := range a.services {
		reports = append(reports, service.Reports(since)...)
	}
	return reports
}

// SetFleetPosition sets this instance's position among the live instances.
func (a *Allocator) SetFleetPosition(fleet steerer.FleetPosition) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = fleet
	for _, service := range a.services {
		service.SetFleetPosition(fleet)
	}
}

// Tick grants servers to the tickets that can be granted one because time has
// passed. It must be called regularly.
func (a *Allocator) Tick() {
	a.mu.Lock()
	news := make(map[lagoonstile.ServiceID][]steerer.Report)
	for id, service := range a.services {
		wake(service.Tick(time.Now()))
		news[id] = service.News()
	}
	a.unlockAndTellAll(news)
}

// Load returns the number of usable servers of a service and the number of
// requests that are waiting for one.
func (a *Allocator) Load(id lagoonstile.ServiceID) (servers, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	service := a.service(id)
	return service.UsableServers(time.Now()), service.Waiting()
}

// wake notifies the goroutines that wait for the tickets. It never blocks:
// each channel has room for the one message that it is sent.
func wake(tickets []*steerer.Ticket) {
	for _, ticket := range tickets {
		ticket.Granted <- struct{}{}
	}
}
