// Package forwarder carries callers' requests to servers and their answers
// back.
//
// # One request
//
// A request is taken apart (Request), admitted by its service's gate, and
// tried on one server after the other (try) until one gives a whole answer or
// nothing more may be done. Then the answer goes to the caller. Small answers
// are held until they are whole, so that a server which breaks off in the
// middle costs a retry and not a broken answer. Larger ones stream through
// with bounded memory; when a server breaks off, the rest is fetched from
// another one by range where the service allows it, and otherwise the caller's
// connection is broken, so that a short answer never looks whole.
//
// # What may be tried again
//
// Requests of idempotent services may run more than once. They are tried on
// other servers and hedged, within their deadline and their service's budget.
// All others run at most once: Once decides, and the forwarder tries again
// only what was never sent or what a server said that it did not run.
//
// # Why net/http towards servers
//
// The client of nbhttp, like its parser, holds a body with a content length
// in memory until it is whole. A 100 MB download would cost 100 MB. The
// standard library's client streams, so it stands in on this side only.
package forwarder

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"lagoonstile"
	"lagoonstile/admitter"
	"lagoonstile/answerer"
	"lagoonstile/picker"
	"lagoonstile/quarantiner"
	"lagoonstile/router"
)

// Recorder takes the figures of finished requests.
type Recorder interface {
	// Request is called once for each request of a caller.
	Request(service lagoonstile.ServiceID, rank lagoonstile.Rank, kind answerer.Kind, duration time.Duration)
	// Retry is called for each try after the first, and each hedge.
	Retry(service lagoonstile.ServiceID, hedge bool)
}

// Orders runs requests that must not run twice.
type Orders interface {
	// Do runs the request at most once over all instances and returns its
	// answer, kept or new, or a Failure.
	Do(ctx context.Context, req *Request) (*Answer, error)
}

// Suspects keeps requests that servers crash on from running freely.
type Suspects interface {
	Admit(print quarantiner.Fingerprint) quarantiner.Admission
	// Crashed and Cleared tell how a try of the request ended.
	Crashed(print quarantiner.Fingerprint)
	Cleared(print quarantiner.Fingerprint)
}

// Forwarder serves callers. Its fields must be set before the first request
// and not be changed; those marked optional may be nil.
type Forwarder struct {
	// Table returns the table in force, or nil before there is one.
	Table func() *router.Table
	// Instance bounds the requests in flight over all services.
	Instance *admitter.Gate
	Picker   picker.Picker
	// Orders runs the requests of services that are not idempotent. Optional:
	// without it they are refused.
	Orders Orders
	// Suspects is optional.
	Suspects Suspects
	// Recorder is optional.
	Recorder Recorder
	Log      *slog.Logger

	transports transports
}

var _ http.Handler = (*Forwarder)(nil)

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	start := time.Now()
	id := newRequestID()
	table := f.Table()
	if table == nil {
		f.fail(w, &Request{ID: id}, start, early(httpReq, &answerer.Failure{Kind: answerer.KindNotReady}))
		return
	}
	req, failure := newRequest(id, httpReq, table, start)
	if failure != nil {
		f.fail(w, req, start, early(httpReq, failure))
		return
	}
	ctx, cancel := context.WithDeadline(httpReq.Context(), req.Deadline)
	defer cancel()
	answer, err := f.answer(ctx, req)
	if err != nil {
		f.fail(w, req, start, asFailure(err))
		return
	}
	kind := f.send(ctx, w, req, answer)
	f.record(req, kind, start)
}

// early marks a failure that was found before the home was asked. Another copy
// of an order may be at its home already, and only the home may say that it was
// not run. A key that names no home is the exception: nobody ever runs it.
func early(httpReq *http.Request, failure *answerer.Failure) *answerer.Failure {
	if httpReq.Header.Get(lagoonstile.HeaderKey) != "" && failure.Kind != answerer.KindKeyMalformed {
		failure.MayHaveRun = true
	}
	return failure
}

// answer gets the answer to a request from wherever it may come.
func (f *Forwarder) answer(ctx context.Context, req *Request) (*Answer, error) {
	if req.Idempotent {
		return f.Run(ctx, req)
	}
	if f.Orders == nil {
		return nil, &answerer.Failure{Kind: answerer.KindLeaving}
	}
	return f.Orders.Do(ctx, req)
}

// Run admits a request and tries it on servers. A request that is not
// idempotent reaches at most one server that may run it. The answer must be
// closed.
func (f *Forwarder) Run(ctx context.Context, req *Request) (*Answer, error) {
	release, failure := f.admit(ctx, req)
	if failure != nil {
		return nil, failure
	}
	answer, failure := f.tryServers(ctx, req)
	if failure != nil {
		release()
		return nil, failure
	}
	answer.OnClose(release)
	return answer, nil
}

// admit waits for a place in the service's capacity and then in the
// instance's. In this order a service's backlog holds no place that another
// service could use.
func (f *Forwarder) admit(ctx context.Context, req *Request) (func(), *answerer.Failure) {
	fromService, err := req.Entry.Gate.Admit(ctx, req.Rank, req.Caller, req.Deadline)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, Cause: err}
	}
	fromInstance, err := f.Instance.Admit(ctx, req.Rank, req.Caller, req.Deadline)
	if err != nil {
		fromService()
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, Cause: err}
	}
	return func() {
		fromInstance()
		fromService()
	}, nil
}

// fail answers with a failure, logs it and counts it.
func (f *Forwarder) fail(w http.ResponseWriter, req *Request, start time.Time, failure *answerer.Failure) {
	failure.Write(w, req.ID)
	f.record(req, failure.Kind, start)
	f.Log.Info("request-failed",
		"request-id", req.ID, "service", req.serviceID(), "kind", failure.Kind,
		"outcome", failure.Outcome(), "cause", failure.Cause)
}

func (f *Forwarder) record(req *Request, kind answerer.Kind, start time.Time) {
	if f.Recorder != nil {
		f.Recorder.Request(req.serviceID(), req.Rank, kind, time.Since(start))
	}
}
