package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/counter"
	"lagoonstile/exchanger"
	"lagoonstile/inspector"
	"lagoonstile/picker"
	"lagoonstile/quarantiner"
)

// attempt is the result of sending a request to one server.
type attempt struct {
	target *picker.Target
	// answer is nil if and only if err is set.
	answer *Answer
	err    error
	// mayHaveRun is false only if no byte was sent or the server reported that it
	// did not run the request.
	mayHaveRun bool
	// budgetExempt is set if a retry after this attempt takes nothing from the retry
	// budget. The budget limits the load that retries add to servers, and this
	// attempt added none: either nothing was sent, or the server is draining and
	// receives no further requests.
	budgetExempt bool
	// crashed is set if an open connection failed before a response was received.
	crashed bool
	// known is the evidence on the request that was known when the attempt began.
	known quarantiner.Evidence
}

// failed reports whether the attempt got no answer or a 5xx answer. Another server
// may then succeed.
func (a *attempt) failed() bool {
	return a.err != nil || a.answer.Status >= http.StatusInternalServerError
}

// toFailure returns the Failure for an attempt without an answer.
func (a *attempt) toFailure(mayHaveRun bool) *answerer.Failure {
	var failure *answerer.Failure
	if errors.As(a.err, &failure) {
		return &answerer.Failure{Kind: failure.Kind, MayHaveRun: mayHaveRun, Cause: failure.Cause}
	}
	return &answerer.Failure{Kind: answerer.KindServerFailed, MayHaveRun: mayHaveRun, Cause: a.err}
}

// sendTo sends the request to one server and waits until the answer is complete or
// can be streamed. It reports the result to the server's counts through reporter.
func (f *Forwarder) sendTo(ctx context.Context, req *Request, target *picker.Target, reporter *resultReporter) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	reporter.begin()
	target.Live.Begin()
	end := func() {
		reporter.stop()
		cancel()
		target.Live.End()
	}
	var sent atomic.Bool
	res, err := f.roundTrip(ctx, req, target, &sent)
	if err != nil {
		a := failedAttempt(ctx, req, target, sent.Load(), err)
		reporter.report(resultOfError(ctx, req, a))
		end()
		return a
	}
	if reason := shedReason(res); reason != "" {
		_ = res.Body.Close()
		reporter.report(counter.ResultShed)
		draining := reason == lagoonstile.ShedDraining
		if draining {
			target.Live.SetDraining()
		}
		end()
		cause := fmt.Errorf("server %s did not run the request: %s", target.Server.ID, reason)
		return &attempt{target: target, budgetExempt: draining, err: &answerer.Failure{Kind: answerer.KindOverloaded, Cause: cause}}
	}
	answer := &Answer{Status: res.StatusCode, Header: exchanger.EndToEnd(res.Header), target: target, start: reporter.started}
	if err := answer.readBody(req.Method, res, f.ResponseLimits); err != nil {
		_ = res.Body.Close()
		if ctx.Err() != nil {
			reporter.report(counter.ResultNone)
		} else {
			reporter.report(counter.ResultBad)
		}
		end()
		return &attempt{target: target, mayHaveRun: true, err: &answerer.Failure{Kind: answerer.KindTruncated, Cause: err}}
	}
	reporter.report(resultOfStatus(res.StatusCode))
	if answer.IsBuffered() {
		_ = res.Body.Close()
		end()
		return &attempt{target: target, answer: answer, mayHaveRun: true}
	}
	answer.OnClose(end)
	answer.OnClose(func() { _ = res.Body.Close() })
	return &attempt{target: target, answer: answer, mayHaveRun: true}
}

// roundTrip sends the request and returns as soon as the header of the response
// has been received. It sets sent when the request may have been sent.
func (f *Forwarder) roundTrip(ctx context.Context, req *Request, target *picker.Target, sent *atomic.Bool) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// No byte of the request is sent before there is a connection, so a request
		// that fails before this point has certainly not run.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target.Server.Address+req.URI, nil)
	if err != nil {
		return nil, fmt.Errorf("create request for server %s: %w", target.Server.ID, err)
	}
	httpReq.Header = req.Header.Clone()
	httpReq.Host = req.Host
	httpReq.Header.Set(answerer.HeaderRequestID, req.ID)
	httpReq.Header.Set(lagoonstile.HeaderDeadline, strconv.FormatInt(max(time.Until(req.Deadline).Milliseconds(), 1), 10))
	if httpReq.Header.Get("User-Agent") == "" {
		// A nil value keeps the transport from adding a User-Agent of its own.
		httpReq.Header["User-Agent"] = nil
	}
	if len(req.Body) > 0 || !req.Idempotent {
		// If a reused connection fails, the transport resends a request with an
		// idempotency key on its own. It does not do so if the request has a body
		// and no GetBody, because it cannot read the body again.
		httpReq.Body = io.NopCloser(bytes.NewReader(req.Body))
		httpReq.ContentLength = int64(len(req.Body))
	}
	kind := transportKind{maxConns: req.Entry.Service.ConnectionsPerServer, keepAlive: req.Idempotent}
	res, err := f.transports.get(kind, transportLimits{f.ResponseLimits, f.MaxIdleConnections}).RoundTrip(httpReq)
	if err != nil {
		return nil, err
	}
	if err := exchanger.CheckStatus(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, fmt.Errorf("response of server %s: %w", target.Server.ID, err)
	}
	return res, nil
}

// failedAttempt classifies an attempt that got no response.
func failedAttempt(ctx context.Context, req *Request, target *picker.Target, sent bool, err error) *attempt {
	a := &attempt{target: target, mayHaveRun: sent}
	switch {
	case !time.Now().Before(req.Deadline):
		a.err = &answerer.Failure{Kind: answerer.KindDeadline, Cause: err}
	case sent:
		a.crashed = ctx.Err() == nil && !errors.Is(err, inspector.ErrNoMemory)
		a.err = &answerer.Failure{Kind: answerer.KindServerFailed, Cause: err}
	default:
		a.budgetExempt = true
		a.err = &answerer.Failure{Kind: answerer.KindNoServer, Cause: err}
	}
	return a
}

// resultOfError returns the result to count for an attempt that got no response.
// It is ResultNone if the attempt was canceled before the deadline (the caller
// disconnected or another attempt succeeded), or if the deadline passed before the
// request was sent, which only means that the caller's deadline was too short, or if this
// instance had no memory for the head. None of them says anything about the link to the
// server.
func resultOfError(ctx context.Context, req *Request, a *attempt) counter.Result {
	if errors.Is(a.err, inspector.ErrNoMemory) {
		return counter.ResultNone
	}
	if ctx.Err() != nil && (time.Now().Before(req.Deadline) || !a.mayHaveRun) {
		return counter.ResultNone
	}
	return counter.ResultLinkFailure
}

// resultOfStatus returns the result to count for a complete response, or for one
// that can be streamed.
func resultOfStatus(status int) counter.Result {
	if status >= http.StatusInternalServerError && status != http.StatusNotImplemented {
		return counter.ResultBad
	}
	return counter.ResultGood
}

// shedReason returns the server's reason for not running the request, or "" if the
// response does not say that the request was not run.
func shedReason(res *http.Response) string {
	if res.StatusCode != http.StatusServiceUnavailable {
		return ""
	}
	return res.Header.Get(lagoonstile.HeaderShed)
}

// resultReporter adds the result of an attempt to its server's counts. Only the
// first result is counted, so that an attempt that was counted as slow is not
// counted again when it ends.
type resultReporter struct {
	counts *counter.Server
	// slowAfter is the time after which the attempt is counted as slow and onSlow is
	// called, unless it is nil.
	slowAfter time.Duration
	onSlow    func()
	// uncounted is set if the result must not be counted. The failure of a suspected
	// request must not count against the server.
	uncounted bool

	started time.Time
	timer   *time.Timer

	mu       sync.Mutex
	reported bool
}

func (r *resultReporter) begin() {
	r.started = time.Now()
	r.timer = time.AfterFunc(r.slowAfter, func() {
		r.report(counter.ResultSlow)
		if r.onSlow != nil {
			r.onSlow()
		}
	})
}

func (r *resultReporter) report(result counter.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported {
		return
	}
	r.reported = true
	if !r.uncounted {
		r.counts.Observe(result, time.Since(r.started))
	}
}

func (r *resultReporter) stop() { r.timer.Stop() }
