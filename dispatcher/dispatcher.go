// Package dispatcher runs orders at most once over all instances of a cell. It
// puts the deduplicator's tables between callers, servers and peers.
//
// A request whose key names this incarnation, or one whose keys were handed
// over to it, is decided here. Any other is passed to the instance that its
// home is at now, and answered with what that says. Only the home may say
// "not-run". Without a way to the home, or without its answer, the outcome is
// unknown.
//
// # Handover
//
// A leaving instance seals its table, waits until nothing runs, and hands the
// table to exactly one successor, page by page. The successor takes it over
// with the last page, and all at once. When the acknowledgement of the last
// page is lost, the successor may have the table or not, so no other one is
// tried: two successors could each run a key that the table lacks.
package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/deduplicator"
	"lagoonstile/forwarder"
)

// Kept is an answer that is kept for resends.
type Kept struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// size returns what the answer costs in memory, nearly.
func (k Kept) size() int {
	n := len(k.Body) + 256
	for name, values := range k.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}

// Table is the table of one home.
type Table = deduplicator.Table[Kept]

// Peers reaches the other instances of the cell.
type Peers interface {
	// Order passes a request to the instance where the home is now, and returns
	// its reply. Any error means that the outcome is unknown.
	Order(ctx context.Context, home lagoonstile.Home, order Order) (Reply, error)
	// HandOver gives one page of a table to an instance and returns when that
	// has acknowledged it.
	HandOver(ctx context.Context, to lagoonstile.InstanceID, page Page) error
}

// Runner runs a request on servers.
type Runner func(ctx context.Context, req *forwarder.Request) (*forwarder.Answer, error)

// Dispatcher holds the tables of one instance.
type Dispatcher struct {
	run    Runner
	peers  Peers
	limits deduplicator.Limits

	mu  sync.Mutex
	own *Table
	// adopted holds the tables that were handed over, by homeID.
	adopted map[string]*Table
	// staging holds the pages of handovers under way.
	staging map[string][]Page
	// finished holds a channel for each running key, closed at its end.
	finished map[string]chan struct{}
	// handed is closed when this instance's tables have been handed over, or
	// the attempt has ended.
	handed chan struct{}
	// successor is empty unless a handover was acknowledged.
	successor lagoonstile.InstanceID
}

var _ forwarder.Orders = (*Dispatcher)(nil)

// New returns the dispatcher of one incarnation.
func New(now time.Time, instance lagoonstile.InstanceID, incarnation lagoonstile.Incarnation, limits deduplicator.Limits, run Runner, peers Peers) *Dispatcher {
	return &Dispatcher{
		run:      run,
		peers:    peers,
		limits:   limits,
		own:      deduplicator.New[Kept](now, instance, incarnation, limits),
		adopted:  make(map[string]*Table),
		staging:  make(map[string][]Page),
		finished: make(map[string]chan struct{}),
		handed:   make(chan struct{}),
	}
}

// Home returns the token for new keys.
func (d *Dispatcher) Home() lagoonstile.Home {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.Home()
}

// Homes lists the incarnations whose keys were handed over to this instance,
// for peers to know.
func (d *Dispatcher) Homes() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var homes []string
	for id := range d.adopted {
		homes = append(homes, id)
	}
	return homes
}

// Keys returns how many keys this instance remembers.
func (d *Dispatcher) Keys() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, table := range d.tables() {
		n += table.Len()
	}
	return n
}

// HomeID names an incarnation over all of its epochs.
func HomeID(home lagoonstile.Home) string {
	return string(home.Instance) + "." + string(home.Incarnation)
}

// Do answers an order of a caller of this instance.
func (d *Dispatcher) Do(ctx context.Context, req *forwarder.Request) (*forwarder.Answer, error) {
	home, _, err := lagoonstile.SplitKey(req.Key)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindKeyMalformed, Cause: err}
	}
	// The order goes on when its caller is gone: the caller's resend will want
	// the answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	answer, err := d.route(ctx, home, req)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.OnClose(cancel)
	return answer, nil
}

// route decides here or passes the order on.
func (d *Dispatcher) route(ctx context.Context, home lagoonstile.Home, req *forwarder.Request) (*forwarder.Answer, error) {
	table := d.table(home)
	if table == nil {
		return d.pass(ctx, home, req)
	}
	answer, err := d.local(ctx, table, home, req)
	if errors.Is(err, errHandedOver) {
		return d.pass(ctx, home, req)
	}
	return answer, err
}

// table returns the table of a home that is here, or nil.
func (d *Dispatcher) table(home lagoonstile.Home) *Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := HomeID(home)
	if id == HomeID(d.own.Home()) {
		return d.own
	}
	return d.adopted[id]
}

// errHandedOver says that the table has left this instance meanwhile.
var errHandedOver = errors.New("keys were handed over")

// local decides on an order whose home is here.
func (d *Dispatcher) local(ctx context.Context, table *Table, home lagoonstile.Home, req *forwarder.Request) (*forwarder.Answer, error) {
	for {
		verdict, finished := d.begin(table, home, req)
		switch verdict.Step {
		case deduplicator.StepDispatch:
			return d.dispatch(ctx, table, req)
		case deduplicator.StepReplay:
			return verdict.Answer.replay(), nil
		case deduplicator.StepWait:
			if !await(ctx, finished) {
				return nil, &answerer.Failure{Kind: answerer.KindDeadline, MayHaveRun: true, Cause: ctx.Err()}
			}
		case deduplicator.StepSealed:
			if !await(ctx, d.handed) {
				return nil, &answerer.Failure{Kind: answerer.KindDeadline, MayHaveRun: true, Cause: ctx.Err()}
			}
			return nil, errHandedOver
		default:
			return nil, &answerer.Failure{Kind: kindOf(verdict.Step)}
		}
	}
}

// kindOf maps a step that ends a request to the kind that says so.
func kindOf(step deduplicator.Step) answerer.Kind {
	switch step {
	case deduplicator.StepRan:
		return answerer.KindAlreadyRan
	case deduplicator.StepRefused:
		return answerer.KindKeySpent
	case deduplicator.StepMismatch:
		return answerer.KindKeyMismatch
	case deduplicator.StepFull:
		return answerer.KindTableFull
	}
	return answerer.KindOutcomeUnknown
}

// begin asks the table. For a key that runs or is to run, the channel is closed
// at its end.
func (d *Dispatcher) begin(table *Table, home lagoonstile.Home, req *forwarder.Request) (deduplicator.Verdict[Kept], <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := table.Begin(time.Now(), req.Key, home.Epoch, uint64(req.Print()))
	if verdict.Step == deduplicator.StepDispatch {
		d.finished[req.Key] = make(chan struct{})
	}
	return verdict, d.finished[req.Key]
}

// dispatch runs an order that the table has noted, and notes the end.
func (d *Dispatcher) dispatch(ctx context.Context, table *Table, req *forwarder.Request) (*forwarder.Answer, error) {
	answer, err := d.run(ctx, req)
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.finished[req.Key])
	delete(d.finished, req.Key)
	if err != nil {
		return nil, conclude(table, req.Key, err)
	}
	if !answer.Whole() {
		table.Ran(req.Key)
		return answer, nil
	}
	kept := Kept{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Body}
	table.Keep(req.Key, kept, kept.size())
	return answer, nil
}

// conclude notes a failure and returns it, as the table can vouch for it.
func conclude(table *Table, key string, err error) error {
	var failure *answerer.Failure
	if !errors.As(err, &failure) || failure.Outcome() != answerer.OutcomeNotRun {
		table.Unknown(key)
		return err
	}
	if !table.Refuse(key) {
		return &answerer.Failure{Kind: answerer.KindOutcomeUnknown, Cause: err}
	}
	return failure
}

// replay returns a kept answer as it goes to a caller. A caller of the answer
// may change its headers.
func (k Kept) replay() *forwarder.Answer {
	return &forwarder.Answer{
		Status:   k.Status,
		Header:   k.Header.Clone(),
		Length:   int64(len(k.Body)),
		Body:     k.Body,
		Replayed: true,
	}
}

// pass hands an order to the instance where its home is now.
func (d *Dispatcher) pass(ctx context.Context, home lagoonstile.Home, req *forwarder.Request) (*forwarder.Answer, error) {
	reply, err := d.peers.Order(ctx, home, orderOf(req))
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindOutcomeUnknown, Cause: err}
	}
	return reply.answer()
}

// await waits for the channel to be closed or the context to end.
func await(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
