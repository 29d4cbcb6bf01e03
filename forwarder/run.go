package forwarder

import (
	"context"

	"lagoonstile/answerer"
	"lagoonstile/picker"
)

// maxTries bounds the servers that one request is sent to.
const maxTries = 4

// run is the tries of one request.
type run struct {
	forwarder *Forwarder
	req       *Request
	tried     []*picker.Target
	// flying counts the tries without a result.
	flying  int
	results chan *trial
	// slow gets a token when a try becomes slow.
	slow chan struct{}
	// mayHaveRun is over all tries that ended.
	mayHaveRun bool
	// last is the latest try without success; its answer may be nil.
	last *trial
}

// tryServers tries a request until there is an answer or nothing more may be
// done. The answer must be closed.
func (f *Forwarder) tryServers(ctx context.Context, req *Request) (*Answer, *answerer.Failure) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		forwarder: f,
		req:       req,
		results:   make(chan *trial, maxTries+1),
		slow:      make(chan struct{}, maxTries+1),
	}
	answer, failure := r.loop(ctx)
	if failure != nil {
		cancel()
		return nil, failure
	}
	if answer.Whole() {
		cancel()
	} else {
		answer.onClose(cancel)
	}
	return answer, nil
}

func (r *run) loop(ctx context.Context) (*Answer, *answerer.Failure) {
	if !r.launch(ctx) {
		return nil, &answerer.Failure{Kind: answerer.KindNoServer}
	}
	for {
		select {
		case t := <-r.results:
			r.flying--
			if answer, done := r.take(ctx, t); done {
				return answer, nil
			}
			if r.flying == 0 {
				return r.giveUp()
			}
		case <-r.slow:
			r.hedge(ctx)
		}
	}
}

// take handles the end of a try. It reports true when its answer is the one.
func (r *run) take(ctx context.Context, t *trial) (*Answer, bool) {
	r.leave(t)
	r.mayHaveRun = r.mayHaveRun || t.mayHaveRun
	if !t.again() {
		r.req.Entry.Budget.Success()
		if r.last != nil && r.last.answer != nil {
			r.last.answer.Close()
		}
		go r.discard(r.flying)
		return t.answer, true
	}
	if r.last != nil && r.last.answer != nil && t.answer == nil {
		// An answer with a bad status says more than none.
		t = r.last
	} else if r.last != nil && r.last.answer != nil {
		r.last.answer.Close()
	}
	r.last = t
	if r.flying == 0 && ctx.Err() == nil && r.mayTryAgain(t) && r.launch(ctx) {
		r.count(false)
	}
	return nil, false
}

// mayTryAgain keeps the rules of what may run twice and of the budget. A try
// that sent nothing costs no server anything, so it is not paid for.
func (r *run) mayTryAgain(t *trial) bool {
	if len(r.tried) >= maxTries {
		return false
	}
	if !r.req.Idempotent && r.mayHaveRun {
		return false
	}
	if r.req.admission == AdmitAlone {
		return false
	}
	unsent := t.answer == nil && !t.mayHaveRun && t.failure(false).Kind == answerer.KindNoServer
	return unsent || r.req.Entry.Budget.Take()
}

// hedge sends a slow request to a second server as well.
func (r *run) hedge(ctx context.Context) {
	if !r.req.Idempotent || r.flying != 1 || len(r.tried) >= maxTries || r.req.admission == AdmitAlone {
		return
	}
	if r.req.Entry.Budget.Take() && r.launch(ctx) {
		r.count(true)
	}
}

// launch starts a try on a server that has none yet.
func (r *run) launch(ctx context.Context) bool {
	target := r.pick()
	if target == nil {
		return false
	}
	r.tried = append(r.tried, target)
	r.flying++
	go func() {
		r.results <- r.forwarder.try(ctx, r.req, target, func() { r.slow <- struct{}{} })
	}()
	return true
}

// pick chooses a server. A suspected request gets one with nothing else of
// ours in flight, so that it can hurt no other.
func (r *run) pick() *picker.Target {
	pool := r.req.Entry.Pool
	if r.req.admission != AdmitAlone {
		return r.forwarder.Picker.Pick(pool, r.tried)
	}
	for _, target := range pool.Targets {
		if target.Live.InFlight() == 0 {
			return target
		}
	}
	return nil
}

// giveUp returns the best that there is after the last try.
func (r *run) giveUp() (*Answer, *answerer.Failure) {
	if r.last.answer != nil {
		return r.last.answer, nil
	}
	return nil, r.last.failure(r.mayHaveRun)
}

// leave tells the suspects' keeper how a try ended.
func (r *run) leave(t *trial) {
	if r.forwarder.Suspects != nil {
		r.forwarder.Suspects.Leave(r.req, t.target.Server.ID, t.crashed)
	}
}

// discard closes the answers of tries that are no longer wanted.
func (r *run) discard(flying int) {
	for range flying {
		t := <-r.results
		r.leave(t)
		if t.answer != nil {
			t.answer.Close()
		}
	}
}

func (r *run) count(hedge bool) {
	if r.forwarder.Recorder != nil {
		r.forwarder.Recorder.Retry(r.req.serviceID(), hedge)
	}
}
