// Package forwarder forwards callers' requests to servers and returns the
// servers' answers.
//
// # Handling of a request
//
// A request is read in full (Request), admitted by the gates of its service and of
// the instance, and sent to one server after the other until one gives a complete
// answer or no further attempt is allowed. The answer is then sent to the caller.
// A small answer is read in full first, so that a server that fails in the middle
// of it causes a retry and not a truncated answer. A larger answer is streamed with
// bounded memory. If a server fails while an answer is streamed, the rest is
// requested from another server with a range request, if the request and the
// answer allow it. Otherwise the connection to the caller is aborted, so that
// the caller cannot take a truncated answer for a complete one.
//
// # Retries
//
// Idempotent requests may run more than once. They are retried on other servers and
// hedged, within their deadline and the retry budget of their service. All other
// requests are called orders and run at most once: the OrderHandler decides whether
// an order may run, and the forwarder retries it only if it was never sent or if
// the server reported that it did not run it.
//
// # Why net/http is used for connections to servers
//
// The client of nbhttp keeps a body with a content length in memory until it is
// complete, so a download of 100 MB would use 100 MB. The client of the standard
// library streams bodies.
package forwarder

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"lagoonstile"
	"lagoonstile/admitter"
	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/picker"
	"lagoonstile/quarantiner"
	"lagoonstile/router"
	"lagoonstile/throttler"
)

// Recorder records metrics of requests.
type Recorder interface {
	// Request is called once for each request of a caller. The kind is empty unless
	// the request failed or a streamed answer was aborted.
	Request(service lagoonstile.ServiceID, rank lagoonstile.Rank, kind answerer.Kind, duration time.Duration)
	// Retry is called for each retry, for each hedged request and for each range
	// request that resumes a streamed answer. Hedge is true for hedged requests.
	Retry(service lagoonstile.ServiceID, hedge bool)
}

// OrderHandler runs orders, the requests that must not run twice.
type OrderHandler interface {
	// Do runs the request at most once across all instances. It returns the new
	// answer, or the stored one if the request has run before. An error without a
	// Failure in its chain is reported to the caller as an internal error.
	Do(ctx context.Context, req *Request) (*Answer, error)
}

// Suspects tracks requests that may have crashed servers and decides whether and
// how they may run again.
type Suspects interface {
	// Admit reports how a request may run.
	Admit(fingerprint quarantiner.Fingerprint) quarantiner.Admission
	// Evidence returns what is known of the request. It is asked for when an attempt
	// begins.
	Evidence(fingerprint quarantiner.Fingerprint) quarantiner.Evidence
	// RecordCrash records that a server crashed while it had the request, in an
	// attempt that began when the evidence known was known.
	RecordCrash(fingerprint quarantiner.Fingerprint, known quarantiner.Evidence)
	// Clear records that a server answered the request while it ran isolated.
	Clear(fingerprint quarantiner.Fingerprint)
}

// Forwarder is the HTTP handler that serves callers. Its exported fields must be
// set before the first request and must not be changed afterwards. Fields marked
// as optional may be nil.
type Forwarder struct {
	// Table returns the routing table in force, or nil if there is none yet.
	Table func() *router.Table
	// InstanceGate limits the requests in flight of all services together.
	InstanceGate *admitter.Gate
	Picker       picker.Picker
	// Orders runs the requests that are not idempotent. Optional: if it is nil, they
	// are rejected.
	Orders OrderHandler
	// Quotas is optional.
	Quotas throttler.Quotas
	// Suspects is optional.
	Suspects Suspects
	// Recorder is optional.
	Recorder Recorder
	Log      *slog.Logger
	// ResponseLimits bound the responses of servers. The zero value means the
	// defaults.
	ResponseLimits exchanger.Limits
	// MaxIdleConnections limits the connections to servers that are kept without a
	// request. The value 0 means no limit.
	MaxIdleConnections int

	transports transports
	// drainEnd is when a drain ends, or nil while there is none.
	drainEnd atomic.Pointer[time.Time]
}

var _ http.Handler = (*Forwarder)(nil)

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	start := time.Now()
	id := newRequestID()
	table := f.Table()
	if table == nil {
		f.fail(w, &Request{ID: id}, start, setMayHaveRun(httpReq, &answerer.Failure{Kind: answerer.KindNotReady}))
		return
	}
	req, failure := newRequest(id, httpReq, table, start)
	if failure != nil {
		f.fail(w, req, start, setMayHaveRun(httpReq, failure))
		return
	}
	if end := f.drainEnd.Load(); end != nil && req.Deadline.After(*end) {
		f.fail(w, req, start, setMayHaveRun(httpReq, &answerer.Failure{Kind: answerer.KindLeaving}))
		return
	}
	ctx, cancel := context.WithDeadline(httpReq.Context(), req.Deadline)
	defer cancel()
	if failure := f.drawQuota(ctx, req); failure != nil {
		f.fail(w, req, start, setMayHaveRun(httpReq, failure))
		return
	}
	answer, err := f.runOrDispatch(ctx, req)
	if err != nil {
		failure := asFailure(err)
		throttler.Refund(f.Quotas, req.account, req.credit, failure)
		f.fail(w, req, start, failure)
		return
	}
	kind := f.writeAnswer(ctx, w, req, answer)
	f.record(req, kind, start)
}

// maxWaitOfDeadline is the share of the time until its deadline for which a request may wait
// for credit.
const maxWaitOfDeadline = 0.1

// drawQuota draws the credit for a request from the quota of its account. It returns a
// failure if there is none.
func (f *Forwarder) drawQuota(ctx context.Context, req *Request) *answerer.Failure {
	now := time.Now()
	wait := time.Duration(maxWaitOfDeadline * float64(req.Deadline.Sub(now)))
	var failure *answerer.Failure
	req.credit, failure = throttler.Charge(ctx, f.Quotas, req.account, now.Add(wait))
	return failure
}

// StartDrain makes the forwarder refuse new requests whose deadline is after the end
// of the drain, since they might be aborted then.
func (f *Forwarder) StartDrain(end time.Time) { f.drainEnd.Store(&end) }

// setMayHaveRun sets MayHaveRun of the failure of a request that has an idempotency
// key but was not passed to Orders, and returns the failure. The caller may have
// sent the same order before, and only the instance that holds the key table for
// the key can tell whether it has run. An order with a malformed key never runs.
func setMayHaveRun(httpReq *http.Request, failure *answerer.Failure) *answerer.Failure {
	if httpReq.Header.Get(lagoonstile.HeaderKey) != "" && failure.Kind != answerer.KindKeyMalformed {
		failure.MayHaveRun = true
	}
	return failure
}

// runOrDispatch runs an idempotent request directly and passes an order to Orders.
func (f *Forwarder) runOrDispatch(ctx context.Context, req *Request) (*Answer, error) {
	if req.Idempotent {
		return f.Run(ctx, req)
	}
	if f.Orders == nil {
		return nil, &answerer.Failure{Kind: answerer.KindLeaving}
	}
	return f.Orders.Do(ctx, req)
}

// Run admits a request and sends it to servers until one answers or no further
// attempt is allowed. A request that is not idempotent is sent again only if no
// earlier attempt can have run it. The error is a Failure. The caller must close
// the answer.
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

// admit waits for capacity of the service and then for capacity of the instance.
// The order matters: requests that wait for their own service must not occupy
// capacity that other services could use. The returned function releases both.
func (f *Forwarder) admit(ctx context.Context, req *Request) (func(), *answerer.Failure) {
	releaseService, err := req.Entry.Gate.Admit(ctx, req.Rank, req.Caller, req.Deadline)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, Cause: err}
	}
	releaseInstance, err := f.InstanceGate.Admit(ctx, req.Rank, req.Caller, req.Deadline)
	if err != nil {
		releaseService()
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, Cause: err}
	}
	return func() {
		releaseInstance()
		releaseService()
	}, nil
}

// fail sends a failure to the caller, logs it and records it.
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
