package forwarder

import (
	"context"
	"slices"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/picker"
	"lagoonstile/quarantiner"
)

// maxTries bounds the servers that one request is sent to.
const maxTries = 4

// run is the tries of one request.
type run struct {
	forwarder *Forwarder
	req       *Request
	print     quarantiner.Fingerprint
	// admission says whether the request is suspected of crashing servers.
	admission quarantiner.Admission
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
		results:   make(chan *trial, maxTries),
		slow:      make(chan struct{}, maxTries),
	}
	r.admit()
	answer, failure := r.loop(ctx)
	if failure != nil {
		cancel()
		return nil, failure
	}
	if answer.Whole() {
		cancel()
	} else {
		answer.OnClose(cancel)
	}
	return answer, nil
}

// admit asks whether the request is suspected.
func (r *run) admit() {
	r.admission = quarantiner.Unrestricted
	if r.forwarder.Suspects != nil {
		r.print = r.req.Print()
		r.admission = r.forwarder.Suspects.Admit(r.print)
	}
}

func (r *run) loop(ctx context.Context) (*Answer, *answerer.Failure) {
	if r.admission == quarantiner.Denied {
		return nil, &answerer.Failure{Kind: answerer.KindQuarantined}
	}
	if !r.launch(ctx) {
		return nil, &answerer.Failure{Kind: answerer.KindNoServer}
	}
	for {
		select {
		case t := <-r.results:
			r.flying--
			if r.take(t) {
				go r.discard(r.flying)
				return t.answer, nil
			}
			if r.flying == 0 && ctx.Err() == nil && r.mayTryAgain(t) && r.launch(ctx) {
				r.count(false)
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
func (r *run) take(t *trial) bool {
	r.settleSuspicion(t)
	r.mayHaveRun = r.mayHaveRun || t.mayHaveRun
	if !t.again() {
		r.req.Entry.Budget.RecordSuccess()
		r.replaceLast(nil)
		return true
	}
	// An answer with a bad status says more than none.
	if t.answer != nil || r.last == nil || r.last.answer == nil {
		r.replaceLast(t)
	}
	return false
}

func (r *run) replaceLast(t *trial) {
	if r.last != nil && r.last.answer != nil {
		r.last.answer.Close()
	}
	r.last = t
}

// settleSuspicion tells the suspects' keeper how a try ended, and asks again
// how the request may run.
func (r *run) settleSuspicion(t *trial) {
	switch {
	case r.forwarder.Suspects == nil:
	case t.crashed:
		r.forwarder.Suspects.Crashed(r.print)
		r.admit()
	case r.admission == quarantiner.Isolated && t.answer != nil:
		r.forwarder.Suspects.Cleared(r.print)
	}
}

// mayTryAgain keeps the rules of what may run twice and of the budget.
func (r *run) mayTryAgain(t *trial) bool {
	if len(r.tried) >= maxTries || r.admission == quarantiner.Denied {
		return false
	}
	if !r.req.Idempotent && r.mayHaveRun {
		return false
	}
	return t.free || r.req.Entry.Budget.Take()
}

// hedge sends a slow request to a second server as well.
func (r *run) hedge(ctx context.Context) {
	if !r.req.Idempotent || r.flying != 1 || len(r.tried) >= maxTries || r.admission != quarantiner.Unrestricted {
		return
	}
	if r.req.Entry.Budget.Take() && r.launch(ctx) {
		r.count(true)
	}
}

// launch starts a try on a server that has had none yet.
func (r *run) launch(ctx context.Context) bool {
	if r.admission == quarantiner.Isolated {
		return r.launchAlone(ctx)
	}
	target := r.forwarder.Picker.Pick(r.req.Entry.Pool, r.tried)
	if target == nil {
		return false
	}
	w := r.watch(target)
	w.slow = func() { r.slow <- struct{}{} }
	r.start(target, func() *trial { return r.forwarder.try(ctx, r.req, target, w) })
	return true
}

func (r *run) watch(target *picker.Target) *watch {
	return &watch{live: target.Live, after: r.req.Entry.SlowAfter}
}

func (r *run) start(target *picker.Target, try func() *trial) {
	r.tried = append(r.tried, target)
	r.flying++
	go func() { r.results <- try() }()
}

// launchAlone starts a try on a server that takes nothing else of ours
// meanwhile, so that a suspected request can hurt no other.
func (r *run) launchAlone(ctx context.Context) bool {
	target := r.reserve()
	if target == nil {
		return false
	}
	w := r.watch(target)
	w.mute = true
	r.start(target, func() *trial {
		if !awaitIdle(ctx, target) {
			target.Live.Unreserve()
			failure := &answerer.Failure{Kind: answerer.KindDeadline, Cause: ctx.Err()}
			return &trial{target: target, err: failure}
		}
		t := r.forwarder.try(ctx, r.req, target, w)
		if t.answer != nil && !t.answer.Whole() {
			t.answer.OnClose(target.Live.Unreserve)
		} else {
			target.Live.Unreserve()
		}
		return t
	})
	return true
}

// reserve takes the least loaded server that is neither tried nor reserved yet.
func (r *run) reserve() *picker.Target {
	var best *picker.Target
	for _, target := range r.req.Entry.Pool.Targets {
		if target.Live.Reserved() || slices.Contains(r.tried, target) {
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

// idlePoll is how often a reserved server is looked at.
const idlePoll = 5 * time.Millisecond

// awaitIdle waits until nothing of ours is in flight at the server.
func awaitIdle(ctx context.Context, target *picker.Target) bool {
	ticker := time.NewTicker(idlePoll)
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

// giveUp returns the best that there is after the last try.
func (r *run) giveUp() (*Answer, *answerer.Failure) {
	if r.last.answer != nil {
		return r.last.answer, nil
	}
	if r.admission == quarantiner.Denied {
		return nil, &answerer.Failure{Kind: answerer.KindQuarantined, MayHaveRun: true, Cause: r.last.err}
	}
	return nil, r.last.failure(r.mayHaveRun)
}

// discard closes the answers of tries that are no longer wanted.
func (r *run) discard(flying int) {
	for range flying {
		t := <-r.results
		r.settleSuspicion(t)
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
