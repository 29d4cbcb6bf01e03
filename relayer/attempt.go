package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/inspector"
	"lagoonstile/logger"
	"lagoonstile/quarantiner"
	"lagoonstile/rationer"
	"lagoonstile/steerer"
)

// Limits of the attempts of one request.
const (
	// minAttemptTime is the time that must remain before the deadline for an
	// attempt to be started.
	minAttemptTime = 150 * time.Millisecond
	// minOverloadRetryAfter is the smallest Retry-After time for a request that no
	// server had capacity for.
	minOverloadRetryAfter = 400 * time.Millisecond
	// maxAttempts bounds all attempts of a request, including those that no server
	// ran. PlannedRoute.MaxAttempts bounds only the servers that may run it.
	maxAttempts = 6
)

// attempt is one attempt to have a server run a request, and its result.
type attempt struct {
	server  *steerer.Server
	outcome steerer.Outcome
	// response is nil if there is none that may be passed on to the client. A
	// signed 5xx response sets both response and err.
	response *exchanger.Response
	err      error
	// notice is what the server said of itself.
	notice steerer.Notice
	// mayHaveRun is false only if it is certain that the server did not run the
	// request.
	mayHaveRun bool
	// noServer is set if no server could be acquired in time.
	noServer bool
	// retryAfter is the time after which a server may be available, if noServer is
	// set.
	retryAfter time.Duration
	// basis is the information that the choice of the server was based on.
	basis steerer.Basis
	// queueTime is the time from the request's arrival until a server was acquired
	// for this attempt.
	queueTime time.Duration
	// suspicion tells what the attempt says of the request if its server crashes. It
	// is nil if suspects are not tracked.
	suspicion *suspicion
	// hedgeFired is set if the hedge delay passed before the attempt ended. The
	// attempt then sends a token to requestRelay.hedgeDue.
	hedgeFired bool
}

// requestRelay makes the attempts of one request and chooses the response. Its
// methods run on the goroutine that calls serve, except acquireAndSend.
type requestRelay struct {
	relayer *Relayer
	req     *request
	results chan *attempt
	// hedgeDue receives a token from each attempt that has not ended within the
	// hedge delay of its service.
	hedgeDue chan struct{}

	// mu guards triedServers, to which each attempt adds the server that it
	// acquired.
	mu           sync.Mutex
	triedServers []*steerer.Server

	// inFlight counts the attempts without a result, including those that wait for
	// a server. pastHedgeDelay counts those of them whose hedge delay has passed; it
	// may be too low for a moment, because an attempt that ends can decrement it
	// before the attempt's token from hedgeDue has incremented it.
	inFlight, pastHedgeDelay int
	// possibleRuns counts the finished attempts whose server may have run the
	// request, attempts all attempts.
	possibleRuns, attempts int
	// suspicions holds those of the finished attempts that ended without a response.
	suspicions []*suspicion
	// responder is the server whose response is returned, if an attempt succeeded.
	responder *steerer.Server
	// failedResponse is the latest 5xx response of a server. It is returned if no
	// attempt succeeds.
	failedResponse *exchanger.Response
	// cause is the latest error of an attempt.
	cause error
	// retryAfter is the time after which a server may have capacity, or 0 if that
	// is not known.
	retryAfter time.Duration
}

func newRequestRelay(relayer *Relayer, req *request) *requestRelay {
	return &requestRelay{
		relayer:  relayer,
		req:      req,
		results:  make(chan *attempt, maxAttempts+1),
		hedgeDue: make(chan struct{}, maxAttempts+1),
	}
}

// serve makes attempts until one succeeds, no other attempt is allowed, or the
// context ends. The caller must close the response.
func (relay *requestRelay) serve(ctx context.Context) (*exchanger.Response, *answerer.Failure) {
	if relay.quarantined() {
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, RetryAfter: quarantineRetryAfter, Cause: errQuarantined}
	}
	window := relay.relayer.window(relay.req.service)
	window.RecordRequest(relay.req.arrived, relay.relayer.RetryBudget())
	relay.start(ctx, false)
	for {
		select {
		case a := <-relay.results:
			relay.inFlight--
			if done, response := relay.finish(a); done {
				return response, nil
			}
			if relay.retry(ctx, a) {
				continue
			}
			if relay.inFlight == 0 {
				return relay.giveUp(a.noServer)
			}
		case <-relay.hedgeDue:
			relay.pastHedgeDelay++
			relay.hedge(ctx)
		case <-ctx.Done():
			return relay.giveUp(false)
		}
	}
}

// hedge sends an idempotent request to another server as well if the hedge delay
// of every attempt in flight has passed and the limits and the retry budget allow
// it. The first good response is used.
func (relay *requestRelay) hedge(ctx context.Context) {
	if !relay.req.route.Idempotent || relay.inFlight == 0 || relay.inFlight > relay.pastHedgeDelay || relay.possibleRuns+relay.inFlight >= relay.req.route.MaxAttempts {
		return
	}
	if relay.attempts >= maxAttempts || relay.quarantined() || time.Until(relay.req.deadline) < minAttemptTime {
		return
	}
	share := rationer.FromContext(ctx)
	if !share.TryTake(exchanger.ExchangeBytes) {
		return
	}
	if !relay.relayer.window(relay.req.service).Take(time.Now(), relay.relayer.RetryBudget(), relay.relayer.Instances()) {
		share.Return(exchanger.ExchangeBytes)
		return
	}
	relay.relayer.Log.Info("hedged", logger.RequestKey, relay.req.id, "service", relay.req.service)
	relay.start(ctx, true)
}

var errClientDisconnected = errors.New("client disconnected")

var errQuarantined = errors.New("request is quarantined because servers crashed while running it")

// quarantineRetryAfter is the Retry-After time of a quarantined request.
const quarantineRetryAfter = 5 * time.Second

// quarantined reports whether the request must not run because it may crash
// servers.
func (relay *requestRelay) quarantined() bool {
	return relay.relayer.Suspects != nil && relay.relayer.Suspects.Admit(relay.req.fingerprint) == quarantiner.Denied
}

// finish records the result of an attempt. It returns true and the response if
// the attempt succeeded.
func (relay *requestRelay) finish(a *attempt) (bool, *exchanger.Response) {
	if a.hedgeFired {
		relay.pastHedgeDelay--
	}
	if a.mayHaveRun {
		relay.possibleRuns++
	}
	if a.err != nil {
		relay.cause = a.err
	}
	if a.suspicion != nil && a.suspicion.checked != nil {
		relay.suspicions = append(relay.suspicions, a.suspicion)
	}
	if a.noServer {
		relay.retryAfter = a.retryAfter
	}
	if a.outcome == steerer.OutcomeGood {
		relay.responder = a.server
		return true, a.response
	}
	if a.response != nil && a.outcome == steerer.OutcomeBad {
		relay.failedResponse = a.response
	}
	return false, nil
}

// retry starts another attempt after attempt a failed, if the limits and the retry
// budget allow it, and reports whether it did. A retry after an attempt that did
// not reach its server draws nothing from the retry budget.
func (relay *requestRelay) retry(ctx context.Context, a *attempt) bool {
	if a.noServer || ctx.Err() != nil || time.Until(relay.req.deadline) < minAttemptTime {
		return false
	}
	if relay.attempts >= maxAttempts || relay.quarantined() {
		return false
	}
	if relay.possibleRuns+relay.inFlight > 0 && (!relay.req.route.Idempotent || relay.possibleRuns+relay.inFlight >= relay.req.route.MaxAttempts) {
		return false
	}
	if a.outcome == steerer.OutcomeUnreached {
		relay.start(ctx, relay.attempts > 1)
		return true
	}
	if !relay.relayer.window(relay.req.service).Take(time.Now(), relay.relayer.RetryBudget(), relay.relayer.Instances()) {
		relay.relayer.Log.Info("repeat-refused", logger.RequestKey, relay.req.id, "service", relay.req.service, "sends", relay.attempts)
		return false
	}
	relay.start(ctx, true)
	return true
}

// giveUp returns the result of a request for which no attempt succeeded: a
// server's 5xx response if there is one, and otherwise a Failure. The parameter
// noServer is true if the last attempt could not acquire a server.
func (relay *requestRelay) giveUp(noServer bool) (*exchanger.Response, *answerer.Failure) {
	if relay.failedResponse != nil {
		return relay.failedResponse, nil
	}
	switch {
	case relay.possibleRuns == 0 && (relay.inFlight == 0 || noServer):
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, RetryAfter: max(relay.retryAfter, minOverloadRetryAfter), Cause: relay.cause}
	case !time.Now().Before(relay.req.deadline):
		return nil, &answerer.Failure{Kind: answerer.KindDeadline, MayHaveRun: true, Cause: relay.cause}
	case relay.cause == nil && relay.inFlight > 0:
		return nil, &answerer.Failure{Kind: answerer.KindOutcomeUnknown, MayHaveRun: true, Cause: errClientDisconnected}
	}
	return nil, &answerer.Failure{Kind: answerer.KindServerFailed, MayHaveRun: true, Cause: relay.cause}
}

// start begins an attempt on a server that the request has not been sent to yet.
// The parameter repeat is only for logs and metrics.
func (relay *requestRelay) start(ctx context.Context, repeat bool) {
	relay.inFlight++
	relay.attempts++
	relay.mu.Lock()
	ticket := &steerer.Ticket{
		Priority:   relay.req.priority,
		Account:    relay.req.accountID(),
		Idempotent: relay.req.route.Idempotent,
		Large:      relay.req.route.Large,
		Arrived:    relay.req.arrived,
		Deadline:   relay.req.deadline.Add(-minAttemptTime),
		Tried:      slices.Clone(relay.triedServers),

		OnTimeUntil: relay.req.arrived.Add(relay.req.route.Objective),
	}
	relay.mu.Unlock()
	earlier := slices.Clone(relay.suspicions)
	go func() { relay.results <- relay.acquireAndSend(ctx, ticket, earlier, repeat) }()
}

// acquireAndSend waits for a server, sends the request to it and reports the
// outcome to the allocator. The parameter earlier holds the suspicions of the
// attempts that ended before this one begins.
func (relay *requestRelay) acquireAndSend(ctx context.Context, ticket *steerer.Ticket, earlier []*suspicion, repeat bool) *attempt {
	acquireCtx, cancel := context.WithDeadline(ctx, ticket.Deadline)
	defer cancel()
	if err := relay.relayer.Allocator.Acquire(acquireCtx, relay.req.service, ticket); err != nil {
		return &attempt{noServer: true, retryAfter: ticket.RetryAfter, outcome: steerer.OutcomeNone, err: fmt.Errorf("no server had capacity: %w", err)}
	}
	relay.mu.Lock()
	relay.triedServers = append(relay.triedServers, ticket.Server)
	relay.mu.Unlock()
	started := time.Now()
	var overdue atomic.Bool
	overdueTimer := time.AfterFunc(relay.relayer.Allocator.SlowThreshold(relay.req.service), func() {
		overdue.Store(true)
		relay.relayer.Allocator.ObserveFailure(relay.req.service, ticket.Server)
	})
	hedgeTimer := time.AfterFunc(relay.relayer.Allocator.HedgeDelay(relay.req.service, relay.req.route.Objective), func() { relay.hedgeDue <- struct{}{} })
	a := relay.relayer.sendTo(ctx, relay.req, ticket.Server, relay.relayer.suspicionOf(relay.req, earlier))
	a.basis = ticket.Basis
	a.queueTime = started.Sub(relay.req.arrived)
	overdueTimer.Stop()
	a.hedgeFired = !hedgeTimer.Stop()
	if a.notice != (steerer.Notice{}) {
		relay.relayer.heed(relay.req, a)
	}
	outcome := a.outcome
	if outcome == steerer.OutcomeTimeout && overdue.Load() {
		outcome = steerer.OutcomeNone // ObserveFailure has counted this failure already.
	}
	if outcome == steerer.OutcomeGood && a.response.IsOpenEnded() {
		relay.settleAtEnd(ctx, a, started)
	} else {
		relay.relayer.Allocator.Settle(relay.req.service, a.server, outcome, time.Since(started))
	}
	relay.relayer.recordAttempt(relay.req, a, repeat)
	return a
}

// settleAtEnd settles an attempt whose response has no known end when the context of
// the request ends. Until then, the server is busy with it. Whether the response
// is good shows only at its end; ServeHTTP counts it if it is not.
func (relay *requestRelay) settleAtEnd(ctx context.Context, a *attempt, started time.Time) {
	context.AfterFunc(ctx, func() {
		relay.relayer.Allocator.Settle(relay.req.service, a.server, steerer.OutcomeNone, time.Since(started))
	})
}

// sendTo sends the request to one server and classifies the result.
func (r *Relayer) sendTo(ctx context.Context, req *request, server *steerer.Server, about *suspicion) *attempt {
	a := &attempt{server: server, suspicion: about}
	header := req.header.Clone()
	header.Set(r.Headers.RequestID, req.id)
	header.Set(r.Headers.Target, string(server.Backend.ID))
	header.Set(r.Headers.Deadline, strconv.FormatInt(max(time.Until(req.deadline).Milliseconds(), 1), 10))
	a.response, a.err = exchanger.Do(ctx, &exchanger.Request{
		Address: server.Backend.Address, Method: req.method, URI: req.uri, Host: req.host,
		Header: header, Body: req.body, RequestIDHeader: r.Headers.RequestID, RequestID: req.id, Limits: r.ResponseLimits,
	})
	if a.err != nil {
		r.classifyError(ctx, req, a)
		return a
	}
	r.classifyResponse(req, a)
	return a
}

// classifyError sets the outcome of an exchange without a complete response. If
// the context ended before the request's deadline, the response was no longer
// needed (for instance, the client disconnected), and the failure says nothing
// about the server.
func (r *Relayer) classifyError(ctx context.Context, req *request, a *attempt) {
	var failed *exchanger.Error
	a.mayHaveRun = !errors.As(a.err, &failed) || failed.Sent
	switch {
	case ctx.Err() != nil && time.Now().Before(req.deadline):
		a.outcome = steerer.OutcomeNone
	case !a.mayHaveRun:
		a.outcome = steerer.OutcomeUnreached
	case ctx.Err() != nil:
		a.outcome = steerer.OutcomeTimeout
	case errors.Is(a.err, inspector.ErrNoMemory):
		a.outcome = steerer.OutcomeNone // Not for a reason of the server.
	default:
		a.outcome = steerer.OutcomeBad
		if a.suspicion != nil {
			a.suspicion.checked = make(chan struct{})
			go r.confirmCrash(req, a.server, a.suspicion)
		}
	}
}

// classifyResponse sets the outcome of an exchange with a complete response.
func (r *Relayer) classifyResponse(req *request, a *attempt) {
	response := a.response
	if response.Status != http.StatusMisdirectedRequest {
		a.notice = r.noticeOf(response)
	}
	notRun := response.Header.Get(r.Headers.NotRun) != ""
	signed := response.Header.Get(r.Headers.Signature) != ""
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		a.outcome = steerer.OutcomeGone
		a.discardResponse(errors.New("address belongs to another server"))
	case notRun && (response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests):
		a.outcome = steerer.OutcomeShed
		a.discardResponse(errors.New("server did not run the request"))
	case notRun:
		a.outcome = steerer.OutcomeGood
	case response.Status < http.StatusMultipleChoices && (!signed || response.Header.Get("Content-Encoding") != ""):
		a.outcome = steerer.OutcomeBad
		a.mayHaveRun = true
		a.discardResponse(errors.New("response was not produced by the server"))
	case response.Status >= http.StatusInternalServerError:
		a.outcome = steerer.OutcomeBad
		a.mayHaveRun = true
		a.err = errors.New("server responded with status " + strconv.Itoa(response.Status))
		if !signed {
			a.discardResponse(a.err)
		}
	default:
		a.outcome = steerer.OutcomeGood
		a.mayHaveRun = true
		if r.Suspects != nil {
			r.Suspects.Clear(req.fingerprint)
		}
	}
}

// maxRetryAfter bounds the time for which a server is left alone at its own wish.
const maxRetryAfter = time.Hour

// noticeOf returns what a server says of itself in a response.
func (r *Relayer) noticeOf(response *exchanger.Response) steerer.Notice {
	notice := steerer.Notice{Leaving: response.Header.Get(r.Headers.Leaving) != ""}
	if response.Status == http.StatusServiceUnavailable {
		notice.RetryAfter = retryAfterOf(response.Header.Get("Retry-After"))
	}
	return notice
}

// retryAfterOf returns the time in a Retry-After header, or 0 if it is not a number of
// seconds.
func retryAfterOf(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// heed passes a server's notice on to the allocator.
func (r *Relayer) heed(req *request, a *attempt) {
	r.Log.Info("server-notice", logger.RequestKey, req.id, "service", req.service, "server", a.server.Backend.ID,
		"leaving", a.notice.Leaving, "retry-after", a.notice.RetryAfter)
	r.Allocator.Heed(req.service, a.server, a.notice)
}

// discardResponse closes a response that must not be passed on, and records why.
func (a *attempt) discardResponse(cause error) {
	a.response.Close()
	a.response = nil
	a.err = cause
}

// logSampling is the sampling interval of the log: one of this many routine
// attempts is logged.
const logSampling = 128

// recordAttempt counts an attempt in the metrics and logs it. Routine attempts
// (good first attempts within the route's objective) are sampled.
func (r *Relayer) recordAttempt(req *request, a *attempt, repeat bool) {
	if r.Recorder != nil {
		r.Recorder.Sent(req.service, string(a.outcome), repeat)
	}
	routine := a.outcome == steerer.OutcomeGood && !repeat && time.Since(req.arrived) <= req.route.Objective
	if routine && r.routineAttempts.Add(1)%logSampling != 0 {
		return
	}
	r.Log.Info("send-ended", logger.RequestKey, req.id, "route", req.route.Name, "service", req.service,
		"server", a.server.Backend.ID, "outcome", a.outcome, "repeat", repeat,
		"waited-ms", a.queueTime.Milliseconds(), "held-ms", time.Since(req.arrived).Milliseconds(),
		"left-ms", time.Until(req.deadline).Milliseconds(),
		"failing", strconv.FormatFloat(a.basis.FailureProbability, 'f', 3, 64), "evidence-age-ms", a.basis.Age.Milliseconds(),
		"load", a.basis.Load, "waiting", a.basis.Waiting, "cause", a.err)
}
