// Package relayer answers clients' requests by way of servers that register
// themselves.
//
// A request is matched to a route of the plan in force, gets a server from the
// allocator, and is sent there (package exchanger). What may follow depends on
// what is known of the first send. A request that no server has run may go to
// another one. One that may have run goes to another one only if its route is
// idempotent. Repeats draw on the service's budget, and the route bounds how
// many servers may run one request.
//
// A request that is given up is answered at once: as not run, with the time
// after which to come back, if that is known for sure, and otherwise as failed.
package relayer

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lagoonstile"
	"lagoonstile/allocator"
	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/listener"
	"lagoonstile/logger"
	"lagoonstile/quarantiner"
	"lagoonstile/retrier"
	"lagoonstile/router"
)

// Headers names what the relayer reads and sets on the wire.
type Headers struct {
	// RequestID is the client's id of the request, which servers echo.
	RequestID string
	// Deadline is how many milliseconds the client waits.
	Deadline string
	// Target names the server that a request is for.
	Target string
	// NotRun is on answers of servers that did not run the request.
	NotRun string
	// Signature is on every answer that a server made.
	Signature string
}

// Suspects keeps requests that crash servers from doing so again.
type Suspects interface {
	Admit(print quarantiner.Print) quarantiner.Admission
	Crashed(print quarantiner.Print)
	Cleared(print quarantiner.Print)
}

// Recorder takes the figures of finished requests.
type Recorder interface {
	// Relayed is called once for each request. The kind is empty for an answer
	// that a server gave.
	Relayed(route string, kind answerer.Kind, status int, duration time.Duration)
	// Sent is called for each send to a server.
	Sent(service lagoonstile.ServiceID, outcome string, repeat bool)
}

// Relayer serves clients. Its fields must be set before the first request.
type Relayer struct {
	Headers Headers
	// Table returns the plan in force, or nil before there is one.
	Table     func() *router.PlanTable
	Allocator *allocator.Allocator
	// Share returns the retry budget and Instances the size of the fleet.
	Share     func() retrier.Share
	Instances func() int
	// Suspects, Recorder are optional.
	Suspects Suspects
	Recorder Recorder
	Log      *slog.Logger
	// Start is drawn once for each instance, from 0 up to 1, so that instances
	// split traffic differently.
	Start float64

	windows sync.Map // lagoonstile.ServiceID to *retrier.Window
	splits  sync.Map // route name to *atomic.Uint64
	serial  atomic.Uint64
}

var _ http.Handler = (*Relayer)(nil)

// ServeHTTP answers one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	arrived := time.Now()
	table := r.Table()
	if table == nil {
		r.refuse(w, httpReq, arrived, &answerer.Failure{Kind: answerer.KindNotReady, RetryAfter: notReadyPause})
		return
	}
	route := table.Route(httpReq.Host, httpReq.URL.Path)
	if route == nil {
		r.refuse(w, httpReq, arrived, &answerer.Failure{Kind: answerer.KindUnknownService})
		return
	}
	req, failure := r.request(httpReq, route, arrived)
	if failure != nil {
		r.refuse(w, httpReq, arrived, failure)
		return
	}
	ctx, cancel := context.WithDeadline(httpReq.Context(), req.deadline)
	defer cancel()
	run := newRun(r, req)
	reply, failure := run.serve(ctx)
	if failure != nil {
		r.fail(w, req, failure)
		return
	}
	defer reply.Close()
	r.send(w, req, reply)
}

// notReadyPause is when an instance without a plan may be asked again.
const notReadyPause = 500 * time.Millisecond

func (r *Relayer) window(service lagoonstile.ServiceID) *retrier.Window {
	window, _ := r.windows.LoadOrStore(service, &retrier.Window{})
	return window.(*retrier.Window)
}

// split chooses the service of a request by the weights of its route.
func (r *Relayer) split(route *lagoonstile.PlannedRoute) lagoonstile.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	count, _ := r.splits.LoadOrStore(route.Name, &atomic.Uint64{})
	return router.Split(route, count.(*atomic.Uint64).Add(1), r.Start)
}

// send passes an answer of a server on unchanged.
func (r *Relayer) send(w http.ResponseWriter, req *request, reply *exchanger.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if reply.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	r.record(req.route.Name, "", reply.Status, req.arrived)
	w.WriteHeader(knownStatus(reply.Status))
	if len(reply.Body) > 0 {
		if _, err := w.Write(reply.Body); err != nil {
			return // The client is gone.
		}
	}
	if reply.Rest == nil {
		return
	}
	if _, err := io.Copy(w, reply.Rest); err != nil {
		r.Log.Warn("answer-broken", logger.RequestKey, req.id, "route", req.route.Name, "cause", err)
		listener.Abort(w)
	}
}

// knownStatus returns a status that nbhttp can write; it leaves out those that
// it has no text for.
func knownStatus(status int) int {
	if http.StatusText(status) != "" {
		return status
	}
	return status / 100 * 100
}

// refuse answers a request that did not get as far as a server.
func (r *Relayer) refuse(w http.ResponseWriter, httpReq *http.Request, arrived time.Time, failure *answerer.Failure) {
	id := httpReq.Header.Get(r.Headers.RequestID)
	failure.Write(w, id)
	r.record("none", failure.Kind, answerer.Lookup(failure.Kind).Status, arrived)
	r.Log.Info("request-refused", logger.RequestKey, id, "host", httpReq.Host, "path", httpReq.URL.Path,
		"kind", failure.Kind, "cause", failure.Cause)
}

// fail answers a request that no server answered well enough.
func (r *Relayer) fail(w http.ResponseWriter, req *request, failure *answerer.Failure) {
	failure.Write(w, req.id)
	r.record(req.route.Name, failure.Kind, answerer.Lookup(failure.Kind).Status, req.arrived)
	r.Log.Info("request-failed", logger.RequestKey, req.id, "route", req.route.Name, "service", req.service,
		"kind", failure.Kind, "outcome", failure.Outcome(), "held-ms", time.Since(req.arrived).Milliseconds(),
		"retry-after", failure.RetryAfter, "cause", failure.Cause)
}

func (r *Relayer) record(route string, kind answerer.Kind, status int, arrived time.Time) {
	if r.Recorder != nil {
		r.Recorder.Relayed(route, kind, status, time.Since(arrived))
	}
}
