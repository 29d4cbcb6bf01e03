// Package relayer forwards clients' requests to registered servers and returns
// their responses.
//
// The relayer matches a request to a route of the plan in force, acquires a
// server from the allocator and sends the request there (package exchanger). If
// an attempt fails, the next step depends on whether a server may have run the
// request. A request that no server has run may be sent to another server. A
// request that may have run is sent to another server only if its route is
// idempotent. Retries and hedged requests draw on the service's retry budget,
// except for a retry after an attempt that did not reach its server. The route
// bounds how many servers may run one request.
//
// A request that the relayer gives up on is answered immediately. If it is
// certain that no server ran the request, the response says so and carries a
// Retry-After header; otherwise the response reports a failure.
package relayer

import (
	"context"
	"errors"
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
	"lagoonstile/throttler"
)

// Headers holds the names of the HTTP headers that the relayer reads and sets.
type Headers struct {
	// RequestID carries the client's request ID, which servers echo.
	RequestID string
	// Deadline carries the number of milliseconds that the client waits.
	Deadline string
	// Target carries the ID of the server that the request is sent to.
	Target string
	// NotRun is set on responses of servers that did not run the request.
	NotRun string
	// Signature is set on every response that a server produced itself.
	Signature string
	// Leaving is set on the responses of servers that will end.
	Leaving string
	// Key carries the client's key, and Account the ID of its client account to the
	// server. Both are only used if the plan has accounts.
	Key, Account string
}

// Suspects tracks requests that may have crashed servers and decides whether
// they may run again.
type Suspects interface {
	// Admit reports how a request may run. The relayer rejects a request only if
	// the result is quarantiner.Denied.
	Admit(fingerprint quarantiner.Fingerprint) quarantiner.Admission
	// Evidence returns what is known of the request. It is asked for when an attempt
	// begins.
	Evidence(fingerprint quarantiner.Fingerprint) quarantiner.Evidence
	// RecordCrash records that a server crashed while it had the request, in an
	// attempt that began when the evidence known was known. It returns the evidence
	// that this crash gives.
	RecordCrash(fingerprint quarantiner.Fingerprint, known quarantiner.Evidence) quarantiner.Evidence
	// Clear records that a server completed the request.
	Clear(fingerprint quarantiner.Fingerprint)
}

// Recorder records metrics of requests and attempts.
type Recorder interface {
	// Relayed is called once for each request. The kind is empty if the response
	// came from a server.
	Relayed(route string, kind answerer.Kind, status int, duration time.Duration)
	// Sent is called for each attempt that got a server. Repeat is true for retries
	// and hedged requests, except for a retry after a first attempt that did not
	// reach its server.
	Sent(service lagoonstile.ServiceID, outcome string, repeat bool)
}

// Relayer is the HTTP handler that serves clients. Its exported fields must be
// set before the first request.
type Relayer struct {
	Headers Headers
	// PlanTable returns the plan in force, or nil if there is none yet.
	PlanTable func() *router.PlanTable
	Allocator *allocator.Allocator
	// RetryBudget returns the parameters of the retry budget.
	RetryBudget func() retrier.FleetBudget
	// Instances returns the number of instances in the fleet.
	Instances func() int
	// ResponseLimits bound the responses of servers. The zero value means the
	// defaults.
	ResponseLimits exchanger.Limits
	// Quotas, Suspects and Recorder may be nil.
	Quotas   throttler.Quotas
	Suspects Suspects
	Recorder Recorder
	Log      *slog.Logger
	// SplitOffset is the offset of this instance's traffic split: a random number in
	// [0, 1), drawn once for each instance so that instances do not all choose the
	// same services at the same time.
	SplitOffset float64

	// drainEnd is when a drain ends, or nil while there is none.
	drainEnd        atomic.Pointer[time.Time]
	windows         sync.Map // lagoonstile.ServiceID to *retrier.Window
	routeCounts     sync.Map // route name to *atomic.Uint64
	routineAttempts atomic.Uint64
}

var _ http.Handler = (*Relayer)(nil)

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	arrived := time.Now()
	table := r.PlanTable()
	if table == nil {
		r.refuse(w, httpReq, arrived, &answerer.Failure{Kind: answerer.KindNotReady, RetryAfter: notReadyRetryAfter})
		return
	}
	route := table.Route(httpReq.Host, httpReq.URL.EscapedPath())
	if route == nil {
		r.refuse(w, httpReq, arrived, &answerer.Failure{Kind: answerer.KindUnknownService})
		return
	}
	account, failure := r.authenticate(httpReq, table, route)
	if failure != nil {
		r.refuse(w, httpReq, arrived, failure)
		return
	}
	req, failure := r.readRequest(httpReq, route, account, arrived)
	if failure != nil {
		r.refuse(w, httpReq, arrived, failure)
		return
	}
	if end := r.drainEnd.Load(); end != nil && req.deadline.After(*end) {
		r.fail(w, req, &answerer.Failure{Kind: answerer.KindLeaving, RetryAfter: leavingRetryAfter})
		return
	}
	ctx, cancel := context.WithDeadline(httpReq.Context(), req.deadline)
	defer cancel()
	if failure := r.drawQuota(ctx, req); failure != nil {
		r.fail(w, req, failure)
		return
	}
	relay := newRequestRelay(r, req)
	response, failure := relay.serve(ctx)
	if failure != nil {
		throttler.Refund(r.Quotas, req.account, req.credit, failure)
		r.fail(w, req, failure)
		return
	}
	defer response.Close()
	err := r.writeResponse(httpReq.Context(), w, req, response)
	if err != nil && relay.responder != nil {
		r.Allocator.ObserveFailure(req.service, relay.responder)
	}
}

// notReadyRetryAfter is the Retry-After time of an instance that has no plan yet.
const notReadyRetryAfter = 500 * time.Millisecond

// leavingRetryAfter is the Retry-After time of a request that another instance can
// take at once.
const leavingRetryAfter = 50 * time.Millisecond

// StartDrain makes the relayer refuse new requests whose deadline is after the end of
// the drain, since they might be aborted then.
func (r *Relayer) StartDrain(end time.Time) { r.drainEnd.Store(&end) }

// window returns the request and retry counts of a service.
func (r *Relayer) window(service lagoonstile.ServiceID) *retrier.Window {
	window, _ := r.windows.LoadOrStore(service, &retrier.Window{})
	return window.(*retrier.Window)
}

// chooseService selects the service for a request by the weights of its route.
func (r *Relayer) chooseService(route *lagoonstile.PlannedRoute) lagoonstile.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	count, _ := r.routeCounts.LoadOrStore(route.Name, &atomic.Uint64{})
	return router.Split(route, count.(*atomic.Uint64).Add(1), r.SplitOffset)
}

// writeResponse writes a server's response to the client. The end-to-end headers
// and the body are passed on unchanged. If the body ends early, the client
// connection is ended, so that the client sees an incomplete response, and the
// server's error is returned. A client that disconnects, which ends the context, is no
// error.
func (r *Relayer) writeResponse(ctx context.Context, w http.ResponseWriter, req *request, response *exchanger.Response) error {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	r.recordRequest(req.route.Name, "", response.Status, req.arrived)
	w.WriteHeader(response.Status)
	if len(response.Body) > 0 {
		if _, err := w.Write(response.Body); err != nil {
			return nil // The client has disconnected.
		}
	}
	if response.Rest == nil {
		return nil
	}
	source := &errorKeeper{reader: response.Rest}
	_, err := io.Copy(w, source)
	if err == nil {
		return nil
	}
	gone := ctx.Err() != nil // The end of the connection also ends the context.
	r.Log.Warn("answer-broken", logger.RequestKey, req.id, "route", req.route.Name, "cause", err)
	listener.Abort(w)
	if gone {
		return nil
	}
	return source.err
}

// errorKeeper keeps the error of a reader, to tell it from errors of the writer
// that the bytes are copied to.
type errorKeeper struct {
	reader io.Reader
	// err is the error of the last read, or nil if that was the end of the stream.
	err error
}

// Read implements io.Reader.
func (k *errorKeeper) Read(p []byte) (int, error) {
	n, err := k.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		k.err = err
	}
	return n, err
}

// refuse responds to a request that is rejected before any attempt.
func (r *Relayer) refuse(w http.ResponseWriter, httpReq *http.Request, arrived time.Time, failure *answerer.Failure) {
	id := httpReq.Header.Get(r.Headers.RequestID)
	failure.Write(w, id)
	r.recordRequest("none", failure.Kind, answerer.Lookup(failure.Kind).Status, arrived)
	r.Log.Info("request-refused", logger.RequestKey, id, "host", httpReq.Host, "path", httpReq.URL.Path,
		"kind", failure.Kind, "cause", failure.Cause)
}

// fail responds to a request for which there is no server response to return.
func (r *Relayer) fail(w http.ResponseWriter, req *request, failure *answerer.Failure) {
	failure.Write(w, req.id)
	r.recordRequest(req.route.Name, failure.Kind, answerer.Lookup(failure.Kind).Status, req.arrived)
	r.Log.Info("request-failed", logger.RequestKey, req.id, "route", req.route.Name, "service", req.service, "account", req.accountID(),
		"kind", failure.Kind, "outcome", failure.Outcome(), "held-ms", time.Since(req.arrived).Milliseconds(),
		"retry-after", failure.RetryAfter, "cause", failure.Cause)
}

func (r *Relayer) recordRequest(route string, kind answerer.Kind, status int, arrived time.Time) {
	if r.Recorder != nil {
		r.Recorder.Relayed(route, kind, status, time.Since(arrived))
	}
}
