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
	"lagoonstile/picker"
)

// trial is what became of one try on one server.
type trial struct {
	target *picker.Target
	// answer is nil when err is not.
	answer *Answer
	err    error
	// mayHaveRun is false only when no byte was sent or the server said that it
	// did not run the request.
	mayHaveRun bool
	// free says that the try cost no server anything that counts: nothing was
	// sent, or the server is leaving and gets nothing more from here.
	free bool
	// crashed says that an open connection ended before any answer came.
	crashed bool
}

// again reports whether another server might do better.
func (t *trial) again() bool {
	return t.err != nil || t.answer.Status >= http.StatusInternalServerError
}

// failure returns the failure of a try without an answer.
func (t *trial) failure(mayHaveRun bool) *answerer.Failure {
	var failure *answerer.Failure
	if errors.As(t.err, &failure) {
		return &answerer.Failure{Kind: failure.Kind, MayHaveRun: mayHaveRun, Cause: failure.Cause}
	}
	return &answerer.Failure{Kind: answerer.KindServerFailed, MayHaveRun: mayHaveRun, Cause: t.err}
}

// try sends the request to one server and waits for a whole or streaming
// answer. The watch says what that showed about the server.
func (f *Forwarder) try(ctx context.Context, req *Request, target *picker.Target, watch *watch) *trial {
	ctx, cancel := context.WithCancel(ctx)
	watch.begin()
	target.Live.Begin()
	end := func() {
		watch.stop()
		cancel()
		target.Live.End()
	}
	var sent atomic.Bool
	res, err := f.roundTrip(ctx, req, target, &sent)
	if err != nil {
		t := failedTrial(ctx, req, target, sent.Load(), err)
		watch.settle(linkResult(ctx, req, t))
		end()
		return t
	}
	if reason := shedReason(res); reason != "" {
		_ = res.Body.Close()
		watch.settle(counter.ResultShed)
		draining := reason == lagoonstile.ShedDraining
		if draining {
			target.Live.SetDraining()
		}
		end()
		cause := fmt.Errorf("server %s: not run: %s", target.Server.ID, reason)
		return &trial{target: target, free: draining, err: &answerer.Failure{Kind: answerer.KindOverloaded, Cause: cause}}
	}
	answer := &Answer{Status: res.StatusCode, Header: exchanger.EndToEnd(res.Header), target: target, start: watch.start}
	if err := answer.hold(req.Method, res); err != nil {
		_ = res.Body.Close()
		if ctx.Err() != nil {
			watch.settle(counter.ResultNone)
		} else {
			watch.settle(counter.ResultBad)
		}
		end()
		return &trial{target: target, mayHaveRun: true, err: &answerer.Failure{Kind: answerer.KindTruncated, Cause: err}}
	}
	watch.settle(statusResult(res.StatusCode))
	if answer.Whole() {
		_ = res.Body.Close()
		end()
		return &trial{target: target, answer: answer, mayHaveRun: true}
	}
	answer.OnClose(end)
	answer.OnClose(func() { _ = res.Body.Close() })
	return &trial{target: target, answer: answer, mayHaveRun: true}
}

// roundTrip sends the request and returns when the answer's head is there.
func (f *Forwarder) roundTrip(ctx context.Context, req *Request, target *picker.Target, sent *atomic.Bool) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on a byte may leave; what is not sent before is safe.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target.Server.Address+req.URI, nil)
	if err != nil {
		return nil, fmt.Errorf("request for server %s: %w", target.Server.ID, err)
	}
	httpReq.Header = req.Header.Clone()
	httpReq.Host = req.Host
	httpReq.Header.Set(answerer.HeaderRequestID, req.ID)
	httpReq.Header.Set(lagoonstile.HeaderDeadline, strconv.FormatInt(max(time.Until(req.Deadline).Milliseconds(), 1), 10))
	if httpReq.Header.Get("User-Agent") == "" {
		httpReq.Header["User-Agent"] = nil
	}
	if len(req.Body) > 0 || !req.Idempotent {
		// A body without a way to read it again keeps the transport from
		// sending the request a second time on its own, which it otherwise
		// does for any request with an idempotency key.
		httpReq.Body = io.NopCloser(bytes.NewReader(req.Body))
		httpReq.ContentLength = int64(len(req.Body))
	}
	return f.transports.of(req.Entry.Service.ConnectionsPerServer).RoundTrip(httpReq)
}

// failedTrial tells what a try without an answer means.
func failedTrial(ctx context.Context, req *Request, target *picker.Target, sent bool, err error) *trial {
	t := &trial{target: target, mayHaveRun: sent}
	switch {
	case !time.Now().Before(req.Deadline):
		t.err = &answerer.Failure{Kind: answerer.KindDeadline, Cause: err}
	case sent:
		t.crashed = ctx.Err() == nil
		t.err = &answerer.Failure{Kind: answerer.KindServerFailed, Cause: err}
	default:
		t.free = true
		t.err = &answerer.Failure{Kind: answerer.KindNoServer, Cause: err}
	}
	return t
}

// linkResult says what a failed try shows about the link to its server. A
// caller that went away shows nothing; nor does a deadline too short for the
// service.
func linkResult(ctx context.Context, req *Request, t *trial) counter.Result {
	if ctx.Err() != nil && (time.Now().Before(req.Deadline) || !t.mayHaveRun) {
		return counter.ResultNone
	}
	return counter.ResultLink
}

// statusResult says what a status shows about its server.
func statusResult(status int) counter.Result {
	if status >= http.StatusInternalServerError && status != http.StatusNotImplemented {
		return counter.ResultBad
	}
	return counter.ResultGood
}

// shedReason returns the reason of a server that did not run the request, or
// "" for any other answer.
func shedReason(res *http.Response) string {
	if res.StatusCode != http.StatusServiceUnavailable {
		return ""
	}
	return res.Header.Get(lagoonstile.HeaderShed)
}

// watch reports one result of a try to its server's counts: the first one. A
// try that became slow counts as that and not again when it ends.
type watch struct {
	live *counter.Server
	// after is the slow limit. The slow function is called when it passes; it
	// may be nil.
	after time.Duration
	slow  func()
	// mute keeps what a suspected request shows from being held against the
	// server.
	mute bool

	start time.Time
	timer *time.Timer

	mu      sync.Mutex
	settled bool
}

func (w *watch) begin() {
	w.start = time.Now()
	w.timer = time.AfterFunc(w.after, func() {
		w.settle(counter.ResultSlow)
		if w.slow != nil {
			w.slow()
		}
	})
}

func (w *watch) settle(result counter.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.settled {
		return
	}
	w.settled = true
	if !w.mute {
		w.live.Observe(result, time.Since(w.start))
	}
}

func (w *watch) stop() { w.timer.Stop() }
