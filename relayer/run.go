package relayer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/logger"
	"lagoonstile/quarantiner"
	"lagoonstile/steerer"
)

// Bounds of the sends of one request.
const (
	// leastWork is the time without which a send is not worth starting.
	leastWork = 150 * time.Millisecond
	// busyPause is the earliest time at which a request that found no room may be
	// sent again.
	busyPause = 400 * time.Millisecond
	// mostSends bounds the servers that one request is offered to, those that
	// did not run it included.
	mostSends = 6
)

// send is one offer of a request to one server.
type send struct {
	server  *steerer.Server
	outcome steerer.Outcome
	// reply is nil when err is not.
	reply *exchanger.Reply
	err   error
	// mayHaveRun is false only if the server can't have run the request.
	mayHaveRun bool
	// unplaced says that no server was found in time, and wait after which time
	// there may be one.
	unplaced bool
	wait     time.Duration
	// basis is what the choice of the server rested on, and waited the time until
	// it was made.
	basis  steerer.Basis
	waited time.Duration
	// late says that the send gave a token to slow.
	late bool
}

// run is the sends of one request.
type run struct {
	relayer *Relayer
	req     *request
	results chan *send
	// slow gets a token when a send takes much longer than sends do.
	slow chan struct{}

	// mu guards tried, which sends add to when they get a server.
	mu    sync.Mutex
	tried []*steerer.Server

	// flying counts the sends without a result, and late those of them that take
	// much longer than sends do. A send that ends may lower late before its token
	// from slow raises it.
	flying, late int
	// ran counts the servers that may have run the request.
	ran, sends int
	// last is the latest server's own failure, to be passed on if nothing better
	// comes.
	last  *exchanger.Reply
	cause error
	// wait is after which time there may be room, if that is known.
	wait time.Duration
}

func newRun(relayer *Relayer, req *request) *run {
	return &run{
		relayer: relayer,
		req:     req,
		results: make(chan *send, mostSends+1),
		slow:    make(chan struct{}, mostSends+1),
	}
}

// serve sends the request until there is an answer or nothing more may be done.
// The reply must be closed.
func (r *run) serve(ctx context.Context) (*exchanger.Reply, *answerer.Failure) {
	if r.suspected() {
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, RetryAfter: quarantinePause, Cause: errQuarantined}
	}
	window := r.relayer.window(r.req.service)
	window.Request(r.req.arrived, r.relayer.Share())
	r.launch(ctx, false)
	for {
		select {
		case s := <-r.results:
			r.flying--
			if done, reply := r.take(s); done {
				return reply, nil
			}
			if r.again(ctx, s) {
				continue
			}
			if r.flying == 0 {
				return r.giveUp(s.unplaced)
			}
		case <-r.slow:
			r.late++
			r.hedge(ctx)
		case <-ctx.Done():
			return r.giveUp(false)
		}
	}
}

// hedge sends an idempotent request that waits for slow servers only to one more.
// The first answer is taken.
func (r *run) hedge(ctx context.Context) {
	if !r.req.route.Idempotent || r.flying == 0 || r.flying > r.late || r.ran+r.flying >= r.req.route.MaxAttempts {
		return
	}
	if r.sends >= mostSends || r.suspected() || time.Until(r.req.deadline) < leastWork {
		return
	}
	if r.relayer.window(r.req.service).Take(time.Now(), r.relayer.Share(), r.relayer.Instances()) {
		r.relayer.Log.Info("hedged", logger.RequestKey, r.req.id, "service", r.req.service)
		r.launch(ctx, true)
	}
}

var errClientLeft = errors.New("client left")

var errQuarantined = errors.New("servers crashed on this request")

// quarantinePause is when a request that crashes servers may be sent again.
const quarantinePause = 5 * time.Second

func (r *run) suspected() bool {
	return r.relayer.Suspects != nil && r.relayer.Suspects.Admit(r.req.print) == quarantiner.Not
}

// take handles the end of a send. It reports true with an answer to pass on.
func (r *run) take(s *send) (bool, *exchanger.Reply) {
	if s.late {
		r.late--
	}
	if s.mayHaveRun {
		r.ran++
	}
	if s.err != nil {
		r.cause = s.err
	}
	if s.unplaced {
		r.wait = s.wait
	}
	if s.outcome == steerer.OutcomeGood {
		return true, s.reply
	}
	if s.reply != nil && s.outcome == steerer.OutcomeBad {
		r.last = s.reply
	}
	return false, nil
}

// again sends the request to another server if that is allowed.
func (r *run) again(ctx context.Context, s *send) bool {
	if s.unplaced || ctx.Err() != nil || time.Until(r.req.deadline) < leastWork {
		return false
	}
	if r.sends >= mostSends || r.suspected() {
		return false
	}
	if r.ran+r.flying > 0 && (!r.req.route.Idempotent || r.ran+r.flying >= r.req.route.MaxAttempts) {
		return false
	}
	if s.outcome == steerer.OutcomeUnreached {
		r.launch(ctx, r.sends > 1)
		return true
	}
	if !r.relayer.window(r.req.service).Take(time.Now(), r.relayer.Share(), r.relayer.Instances()) {
		r.relayer.Log.Info("repeat-refused", logger.RequestKey, r.req.id, "service", r.req.service, "sends", r.sends)
		return false
	}
	r.launch(ctx, true)
	return true
}

// giveUp returns the best that there is after the last send.
func (r *run) giveUp(unplaced bool) (*exchanger.Reply, *answerer.Failure) {
	if r.last != nil {
		return r.last, nil
	}
	switch {
	case r.ran == 0 && (r.flying == 0 || unplaced):
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded, RetryAfter: max(r.wait, busyPause), Cause: r.cause}
	case !time.Now().Before(r.req.deadline):
		return nil, &answerer.Failure{Kind: answerer.KindDeadline, MayHaveRun: true, Cause: r.cause}
	case r.cause == nil && r.flying > 0:
		return nil, &answerer.Failure{Kind: answerer.KindOutcomeUnknown, MayHaveRun: true, Cause: errClientLeft}
	}
	return nil, &answerer.Failure{Kind: answerer.KindServerFailed, MayHaveRun: true, Cause: r.cause}
}

// launch offers the request to a server that has not had it yet.
func (r *run) launch(ctx context.Context, repeat bool) {
	r.flying++
	r.sends++
	r.mu.Lock()
	ticket := &steerer.Ticket{
		Priority:   r.req.route.Priority,
		Idempotent: r.req.route.Idempotent,
		Large:      r.req.route.Large,
		Arrived:    r.req.arrived,
		Until:      r.req.deadline.Add(-leastWork),
		Tried:      slices.Clone(r.tried),
	}
	r.mu.Unlock()
	go func() { r.results <- r.place(ctx, ticket, repeat) }()
}

// place waits for a server and sends the request there.
func (r *run) place(ctx context.Context, ticket *steerer.Ticket, repeat bool) *send {
	placing, cancel := context.WithDeadline(ctx, ticket.Until)
	defer cancel()
	if err := r.relayer.Allocator.Acquire(placing, r.req.service, ticket); err != nil {
		return &send{unplaced: true, wait: ticket.Wait, outcome: steerer.OutcomeNone, err: fmt.Errorf("no server had room: %w", err)}
	}
	r.mu.Lock()
	r.tried = append(r.tried, ticket.Server)
	r.mu.Unlock()
	began := time.Now()
	var overdue atomic.Bool
	timer := time.AfterFunc(r.relayer.Allocator.Slow(r.req.service), func() {
		overdue.Store(true)
		r.relayer.Allocator.Overdue(r.req.service, ticket.Server)
	})
	hedging := time.AfterFunc(r.relayer.Allocator.Hedge(r.req.service, r.req.route.Objective), func() { r.slow <- struct{}{} })
	s := r.relayer.offer(ctx, r.req, ticket.Server)
	s.basis = ticket.Basis
	s.waited = began.Sub(r.req.arrived)
	timer.Stop()
	s.late = !hedging.Stop()
	outcome := s.outcome
	if outcome == steerer.OutcomeSilent && overdue.Load() {
		outcome = steerer.OutcomeNone // It was held against the server already.
	}
	r.relayer.Allocator.Settle(r.req.service, s.server, outcome, time.Since(began))
	r.relayer.note(r.req, s, repeat)
	return s
}

// offer sends the request to one server and says what came of it.
func (r *Relayer) offer(ctx context.Context, req *request, server *steerer.Server) *send {
	s := &send{server: server}
	header := req.header.Clone()
	header.Set(r.Headers.RequestID, req.id)
	header.Set(r.Headers.Target, string(server.Backend.ID))
	header.Set(r.Headers.Deadline, strconv.FormatInt(max(time.Until(req.deadline).Milliseconds(), 1), 10))
	s.reply, s.err = exchanger.Do(ctx, &exchanger.Call{
		Address: server.Backend.Address, Method: req.method, URI: req.uri, Host: req.host,
		Header: header, Body: req.body, IDHeader: r.Headers.RequestID, ID: req.id,
	})
	if s.err != nil {
		r.judgeError(ctx, req, s)
		return s
	}
	r.judgeReply(req, s)
	return s
}

// judgeError says what an exchange without a whole answer means.
func (r *Relayer) judgeError(ctx context.Context, req *request, s *send) {
	var failed *exchanger.Error
	s.mayHaveRun = !errors.As(s.err, &failed) || failed.Sent
	switch {
	case ctx.Err() != nil && time.Now().Before(req.deadline):
		s.outcome = steerer.OutcomeNone
	case !s.mayHaveRun:
		s.outcome = steerer.OutcomeUnreached
	case ctx.Err() != nil:
		s.outcome = steerer.OutcomeSilent
	default:
		s.outcome = steerer.OutcomeBad
		if r.Suspects != nil {
			go r.confirmCrash(req, s.server)
		}
	}
}

// Timing of looking whether a server crashed.
const (
	crashWait    = 20 * time.Millisecond
	crashTimeout = 300 * time.Millisecond
)

// confirmCrash holds a broken connection against the request if the server is
// gone. One that still takes connections only broke off.
func (r *Relayer) confirmCrash(req *request, server *steerer.Server) {
	time.Sleep(crashWait)
	conn, err := net.DialTimeout("tcp", server.Backend.Address, crashTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	r.Log.Info("server-crashed", logger.RequestKey, req.id, "service", req.service, "server", server.Backend.ID, "print", req.print)
	r.Suspects.Crashed(req.print)
}

// judgeReply says what a whole answer means.
func (r *Relayer) judgeReply(req *request, s *send) {
	reply := s.reply
	notRun := reply.Header.Get(r.Headers.NotRun) != ""
	signed := reply.Header.Get(r.Headers.Signature) != ""
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		s.outcome = steerer.OutcomeGone
		s.drop(errors.New("another server has the address"))
	case notRun && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests):
		s.outcome = steerer.OutcomeShed
		s.drop(errors.New("server did not run it"))
	case notRun:
		s.outcome = steerer.OutcomeGood
	case reply.Status < http.StatusMultipleChoices && (!signed || reply.Header.Get("Content-Encoding") != ""):
		s.outcome = steerer.OutcomeBad
		s.mayHaveRun = true
		s.drop(errors.New("answer is not the server's"))
	case reply.Status >= http.StatusInternalServerError:
		s.outcome = steerer.OutcomeBad
		s.mayHaveRun = true
		s.err = errors.New("server answered " + strconv.Itoa(reply.Status))
		if !signed {
			s.drop(s.err)
		}
	default:
		s.outcome = steerer.OutcomeGood
		s.mayHaveRun = true
		if r.Suspects != nil {
			r.Suspects.Cleared(req.print)
		}
	}
}

// drop closes a reply that must not be passed on.
func (s *send) drop(cause error) {
	s.reply.Close()
	s.reply = nil
	s.err = cause
}

// sampleEvery is how many good first sends there are for each that is logged.
const sampleEvery = 128

// note counts a send, and logs it if it is part of more than a plain success.
func (r *Relayer) note(req *request, s *send, repeat bool) {
	if r.Recorder != nil {
		r.Recorder.Sent(req.service, string(s.outcome), repeat)
	}
	plain := s.outcome == steerer.OutcomeGood && !repeat && time.Since(req.arrived) <= req.route.Objective
	if plain && r.serial.Add(1)%sampleEvery != 0 {
		return
	}
	r.Log.Info("send-ended", logger.RequestKey, req.id, "route", req.route.Name, "service", req.service,
		"server", s.server.Backend.ID, "outcome", s.outcome, "repeat", repeat,
		"waited-ms", s.waited.Milliseconds(), "held-ms", time.Since(req.arrived).Milliseconds(),
		"left-ms", time.Until(req.deadline).Milliseconds(),
		"failing", strconv.FormatFloat(s.basis.Failing, 'f', 3, 64), "evidence-age-ms", s.basis.Age.Milliseconds(),
		"load", s.basis.Load, "waiting", s.basis.Waiting, "cause", s.err)
}
