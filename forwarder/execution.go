package forwarder

import (
	"context"
	"slices"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/picker"
	"lagoonstile/quarantiner"
	"lagoonstile/rationer"
)

// maxAttempts limits the attempts of one request, hedges included. The range
// requests that resume a streamed answer are limited by maxResumes instead.
const maxAttempts = 4

// execution makes the attempts of one request and chooses the answer. Its methods
// run on the goroutine that calls tryServers, except discardResults, which runs on
// a goroutine of its own after the first success.
type execution struct {
	forwarder   *Forwarder
	req         *Request
	fingerprint quarantiner.Fingerprint
	// admission says how the request may run. It is Isolated while the request is
	// suspected of crashing servers.
	admission quarantiner.Admission
	// tried holds the targets of all attempts.
	tried []*picker.Target
	// inFlight counts the attempts without a result.
	inFlight int
	results  chan *attempt
	// hedgeDue receives a token when an attempt that is not isolated becomes slow.
	hedgeDue chan struct{}
	// mayHaveRun is set if any finished attempt may have run the request.
	mayHaveRun bool
	// lastFailed is the failed attempt that determines the result if no attempt
	// succeeds: the latest one with an answer, or else the latest one. Its answer may
	// be nil.
	lastFailed *attempt
}

// tryServers sends a request to servers until one answers or no further attempt is
// allowed. The caller must close the answer.
func (f *Forwarder) tryServers(ctx context.Context, req *Request) (*Answer, *answerer.Failure) {
	ctx, cancel := context.WithCancel(ctx)
	exec := &execution{
		forwarder: f,
		req:       req,
		results:   make(chan *attempt, maxAttempts),
		hedgeDue:  make(chan struct{}, maxAttempts),
	}
	exec.updateAdmission()
	answer, failure := exec.run(ctx)
	if failure != nil {
		cancel()
		return nil, failure
	}
	if answer.IsBuffered() {
		cancel()
	} else {
		answer.OnClose(cancel)
	}
	return answer, nil
}

// updateAdmission sets admission to what Suspects reports for the request.
func (exec *execution) updateAdmission() {
	exec.admission = quarantiner.Unrestricted
	if exec.forwarder.Suspects != nil {
		exec.fingerprint = exec.req.Fingerprint()
		exec.admission = exec.forwarder.Suspects.Admit(exec.fingerprint)
	}
}

// evidence returns what is known of the request now.
func (exec *execution) evidence() quarantiner.Evidence {
	if exec.forwarder.Suspects == nil {
		return quarantiner.Evidence{}
	}
	return exec.forwarder.Suspects.Evidence(exec.fingerprint)
}

// run makes attempts until one succeeds or no further one is allowed. After a
// success, the answers of attempts still in flight are discarded.
func (exec *execution) run(ctx context.Context) (*Answer, *answerer.Failure) {
	if exec.admission == quarantiner.Denied {
		return nil, &answerer.Failure{Kind: answerer.KindQuarantined}
	}
	if !exec.startAttempt(ctx) {
		return nil, &answerer.Failure{Kind: answerer.KindNoServer}
	}
	for {
		select {
		case a := <-exec.results:
			exec.inFlight--
			if exec.finish(a) {
				go exec.discardResults(exec.inFlight)
				return a.answer, nil
			}
			if exec.inFlight == 0 && ctx.Err() == nil && exec.mayRetry(a) && exec.startAttempt(ctx) {
				exec.recordRetry(false)
			}
			if exec.inFlight == 0 {
				return exec.giveUp()
			}
		case <-exec.hedgeDue:
			exec.hedge(ctx)
		}
	}
}

// finish processes the result of an attempt and reports whether the attempt
// succeeded.
func (exec *execution) finish(a *attempt) bool {
	exec.updateSuspicion(a)
	exec.mayHaveRun = exec.mayHaveRun || a.mayHaveRun
	if !a.failed() {
		exec.req.Entry.Budget.RecordSuccess()
		exec.setLastFailed(nil)
		return true
	}
	// A server's 5xx answer is more useful to the caller than a Failure of this
	// instance.
	if a.answer != nil || exec.lastFailed == nil || exec.lastFailed.answer == nil {
		exec.setLastFailed(a)
	}
	return false
}

// setLastFailed replaces lastFailed and closes the answer of the previous one.
func (exec *execution) setLastFailed(a *attempt) {
	if exec.lastFailed != nil && exec.lastFailed.answer != nil {
		exec.lastFailed.answer.Close()
	}
	exec.lastFailed = a
}

// updateSuspicion records a crash of the attempt's server with Suspects and updates
// the admission. If instead a server answered the request while it ran isolated,
// updateSuspicion clears the request.
func (exec *execution) updateSuspicion(a *attempt) {
	switch {
	case exec.forwarder.Suspects == nil:
	case a.crashed:
		exec.forwarder.Suspects.RecordCrash(exec.fingerprint, a.known)
		exec.updateAdmission()
	case exec.admission == quarantiner.Isolated && a.answer != nil:
		exec.forwarder.Suspects.Clear(exec.fingerprint)
	}
}

// mayRetry reports whether the request may be retried after attempt a failed. If
// it returns true, it has taken a token from the retry budget unless the attempt is
// exempt.
func (exec *execution) mayRetry(a *attempt) bool {
	if len(exec.tried) >= maxAttempts || exec.admission == quarantiner.Denied {
		return false
	}
	if !exec.req.Idempotent && exec.mayHaveRun {
		return false
	}
	return a.budgetExempt || exec.req.Entry.Budget.Take()
}

// hedge is called when an attempt has become slow. It sends an idempotent request
// to another server as well if exactly one attempt is in flight and the retry
// budget allows it.
func (exec *execution) hedge(ctx context.Context) {
	if !exec.req.Idempotent || exec.inFlight != 1 || len(exec.tried) >= maxAttempts || exec.admission != quarantiner.Unrestricted {
		return
	}
	share := rationer.FromContext(ctx)
	if !share.TryTake(RequestBytes) {
		return
	}
	if !exec.req.Entry.Budget.Take() || !exec.startAttempt(ctx) {
		share.Return(RequestBytes)
		return
	}
	exec.recordRetry(true)
}

// startAttempt starts an attempt on a server that has not been tried yet. It
// returns false if there is none.
func (exec *execution) startAttempt(ctx context.Context) bool {
	if exec.admission == quarantiner.Isolated {
		return exec.startIsolated(ctx)
	}
	target := exec.forwarder.Picker.Pick(exec.req.Entry.Pool, exec.tried)
	if target == nil {
		return false
	}
	reporter := exec.newReporter(target)
	reporter.onSlow = func() { exec.hedgeDue <- struct{}{} }
	exec.start(target, func() *attempt { return exec.forwarder.sendTo(ctx, exec.req, target, reporter) })
	return true
}

func (exec *execution) newReporter(target *picker.Target) *resultReporter {
	return &resultReporter{counts: target.Live, slowAfter: exec.req.Entry.SlowAfter}
}

// start runs an attempt on its own goroutine.
func (exec *execution) start(target *picker.Target, send func() *attempt) {
	exec.tried = append(exec.tried, target)
	exec.inFlight++
	go func() {
		known := exec.evidence()
		a := send()
		a.known = known
		exec.results <- a
	}()
}

// startIsolated starts an attempt on a server that runs no other request of this
// instance at the same time, so that a crash affects none of them. It returns false
// if no server can be reserved.
func (exec *execution) startIsolated(ctx context.Context) bool {
	target := exec.reserve()
	if target == nil {
		return false
	}
	reporter := exec.newReporter(target)
	reporter.uncounted = true
	exec.start(target, func() *attempt {
		if !waitUntilIdle(ctx, target) {
			target.Live.Unreserve()
			failure := &answerer.Failure{Kind: answerer.KindDeadline, Cause: ctx.Err()}
			return &attempt{target: target, err: failure}
		}
		a := exec.forwarder.sendTo(ctx, exec.req, target, reporter)
		if a.answer != nil && !a.answer.IsBuffered() {
			a.answer.OnClose(target.Live.Unreserve)
		} else {
			target.Live.Unreserve()
		}
		return a
	})
	return true
}

// reserve reserves the least loaded server that has not been tried and is not
// reserved already. It returns nil if there is none, or if another request reserves
// that server first.
func (exec *execution) reserve() *picker.Target {
	var best *picker.Target
	for _, target := range exec.req.Entry.Pool.Targets {
		if target.Live.Reserved() || slices.Contains(exec.tried, target) {
			continue
		}
		if best == nil || target.Load() < best.Load() {
			best = target
		}
	}
	if best == nil || !best.Live.Reserve() {
		return nil
	}
	return best
}

// idlePollInterval is how often waitUntilIdle checks a reserved server.
const idlePollInterval = 5 * time.Millisecond

// waitUntilIdle waits until this instance has no request in flight at the server.
// It returns false if the context ends first.
func waitUntilIdle(ctx context.Context, target *picker.Target) bool {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for target.Live.InFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// giveUp returns the result of a request that no attempt succeeded for: a server's
// 5xx answer if there is one, and otherwise a Failure.
func (exec *execution) giveUp() (*Answer, *answerer.Failure) {
	if exec.lastFailed.answer != nil {
		return exec.lastFailed.answer, nil
	}
	if exec.admission == quarantiner.Denied {
		return nil, &answerer.Failure{Kind: answerer.KindQuarantined, MayHaveRun: true, Cause: exec.lastFailed.err}
	}
	return nil, exec.lastFailed.toFailure(exec.mayHaveRun)
}

// discardResults waits for n attempts that are no longer needed and closes their
// answers.
func (exec *execution) discardResults(n int) {
	for range n {
		a := <-exec.results
		exec.updateSuspicion(a)
		if a.answer != nil {
			a.answer.Close()
		}
	}
}

func (exec *execution) recordRetry(hedge bool) {
	if exec.forwarder.Recorder != nil {
		exec.forwarder.Recorder.Retry(exec.req.serviceID(), hedge)
	}
}
