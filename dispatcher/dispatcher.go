// Package dispatcher runs each order at most once across all instances of the fleet.
// It connects the tables of package deduplicator with callers, servers and peers.
//
// An instance decides on an order itself if the key of the order names its current
// incarnation, or an incarnation whose keys were handed over to it. It forwards any
// other order to the instance that now holds the table of the order's home, and
// returns the reply of that instance. Unless the key is malformed, only the holder
// of the table may answer "not-run". If it cannot be reached or does not reply, the
// outcome is unknown.
//
// # Handover
//
// An instance that leaves the fleet seals its table, waits until no order runs, and
// sends the table page by page to exactly one successor. The successor uses the
// table only after it has received the last page, never a part of it. If the
// acknowledgement of the last page is lost, the leaving instance cannot know
// whether the successor has the table, so it does not try another successor: with
// two successors, each could run an order whose key is not in the table. An
// instance hands over the tables that it adopted in the same way.
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

// StoredAnswer is an answer that is stored to be replayed to resends of the same order.
type StoredAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// answerOverheadBytes is the assumed memory use of a stored answer without its
// headers and body.
const answerOverheadBytes = 256

// size returns the approximate memory use of the answer in bytes.
func (a StoredAnswer) size() int {
	size := len(a.Body) + answerOverheadBytes
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Table is the table of one home.
type Table = deduplicator.Table[StoredAnswer]

// Peers sends messages to the other instances of the fleet.
type Peers interface {
	// ForwardOrder forwards an order to the instance that now holds the table of the home,
	// and returns its reply. After any error the outcome is unknown.
	ForwardOrder(ctx context.Context, home lagoonstile.Home, order Order) (Reply, error)
	// HandOver sends one page of a table to an instance and returns when the
	// instance has acknowledged it.
	HandOver(ctx context.Context, to lagoonstile.InstanceID, page Page) error
}

// Runner runs a request on a server and returns the answer.
type Runner func(ctx context.Context, req *forwarder.Request) (*forwarder.Answer, error)

// Dispatcher decides on orders and holds the tables of one instance. It is safe
// for concurrent use.
type Dispatcher struct {
	run    Runner
	peers  Peers
	limits deduplicator.Limits

	mu sync.Mutex
	// own is the table of this incarnation.
	own *Table
	// adopted holds the tables that were handed over to this instance, by HomeID.
	adopted map[string]*Table
	// staging holds the pages received in unfinished handovers, by HomeID.
	staging map[string][]Page
	// runDone holds a channel for each running order, by key. The channel is
	// closed when the order ends.
	runDone map[string]chan struct{}
	// handoverDone is closed when the tables of this instance have been handed
	// over, or when the attempt has failed.
	handoverDone chan struct{}
	// successor is empty until a handover to it was acknowledged in full.
	successor lagoonstile.InstanceID
}

var _ forwarder.OrderHandler = (*Dispatcher)(nil)

// New returns the dispatcher of one incarnation with an empty table.
func New(now time.Time, instance lagoonstile.InstanceID, incarnation lagoonstile.Incarnation, limits deduplicator.Limits, run Runner, peers Peers) *Dispatcher {
	return &Dispatcher{
		run:          run,
		peers:        peers,
		limits:       limits,
		own:          deduplicator.New[StoredAnswer](now, instance, incarnation, limits),
		adopted:      make(map[string]*Table),
		staging:      make(map[string][]Page),
		runDone:      make(map[string]chan struct{}),
		handoverDone: make(chan struct{}),
	}
}

// Home returns the home that new keys must name.
func (d *Dispatcher) Home() lagoonstile.Home {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.Home()
}

// AdoptedHomes returns the HomeID of each incarnation whose keys were handed over to
// this instance. The instance announces them to its peers.
func (d *Dispatcher) AdoptedHomes() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var homes []string
	for id := range d.adopted {
		homes = append(homes, id)
	}
	return homes
}

// KeyCount returns the number of keys in all tables of this instance.
func (d *Dispatcher) KeyCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, table := range d.allTables() {
		count += table.Len()
	}
	return count
}

// HomeID returns an identifier of the home's incarnation. It does not contain the
// epoch.
func HomeID(home lagoonstile.Home) string {
	return string(home.Instance) + "." + string(home.Incarnation)
}

// Do answers an order that a caller sent to this instance.
func (d *Dispatcher) Do(ctx context.Context, req *forwarder.Request) (*forwarder.Answer, error) {
	home, _, err := lagoonstile.SplitKey(req.Key)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindKeyMalformed, Cause: err}
	}
	// The order continues when its caller disconnects, because the caller may
	// resend the order and then needs the answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	answer, err := d.route(ctx, home, req)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.OnClose(cancel)
	return answer, nil
}

// route handles the order locally if its home's table is here, and forwards it
// otherwise.
func (d *Dispatcher) route(ctx context.Context, home lagoonstile.Home, req *forwarder.Request) (*forwarder.Answer, error) {
	table := d.table(home)
	if table == nil {
		return d.forward(ctx, home, req)
	}
	answer, err := d.handleLocally(ctx, table, home, req)
	if errors.Is(err, errHandoverEnded) {
		return d.forward(ctx, home, req)
	}
	return answer, err
}

// table returns the table of the home, or nil if this instance does not hold it.
func (d *Dispatcher) table(home lagoonstile.Home) *Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := HomeID(home)
	if id == HomeID(d.own.Home()) {
		return d.own
	}
	return d.adopted[id]
}

// errHandoverEnded means that the attempt to hand the table over to another instance
// has ended, whether it succeeded or failed.
var errHandoverEnded = errors.New("the handover of the keys has ended")

// handleLocally decides on an order whose table is held by this instance. It waits
// while the order is already running. If the table is sealed and does not contain the
// key, it waits for the end of the handover and returns errHandoverEnded.
func (d *Dispatcher) handleLocally(ctx context.Context, table *Table, home lagoonstile.Home, req *forwarder.Request) (*forwarder.Answer, error) {
	for {
		verdict, runDone := d.begin(table, home, req)
		switch verdict.Step {
		case deduplicator.StepDispatch:
			return d.dispatch(ctx, table, req)
		case deduplicator.StepReplay:
			return verdict.Answer.replay(), nil
		case deduplicator.StepWait:
			if !await(ctx, runDone) {
				return nil, &answerer.Failure{Kind: answerer.KindDeadline, MayHaveRun: true, Cause: ctx.Err()}
			}
		case deduplicator.StepSealed:
			if !await(ctx, d.handoverDone) {
				return nil, &answerer.Failure{Kind: answerer.KindDeadline, MayHaveRun: true, Cause: ctx.Err()}
			}
			return nil, errHandoverEnded
		default:
			return nil, &answerer.Failure{Kind: failureKind(verdict.Step)}
		}
	}
}

// failureKind returns the kind of failure for a step that ends a request without
// an answer.
func failureKind(step deduplicator.Step) answerer.Kind {
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

// begin gets the verdict on a request from the table. If the order is running or is to
// be dispatched, it also returns a channel that is closed when the order ends;
// otherwise the channel is nil.
func (d *Dispatcher) begin(table *Table, home lagoonstile.Home, req *forwarder.Request) (deduplicator.Verdict[StoredAnswer], <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := table.Begin(time.Now(), req.Key, home.Epoch, uint64(req.Fingerprint()))
	if verdict.Step == deduplicator.StepDispatch {
		d.runDone[req.Key] = make(chan struct{})
	}
	return verdict, d.runDone[req.Key]
}

// dispatch runs an order that begin has recorded as running, and records the result
// in the table.
func (d *Dispatcher) dispatch(ctx context.Context, table *Table, req *forwarder.Request) (*forwarder.Answer, error) {
	answer, err := d.run(ctx, req)
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.runDone[req.Key])
	delete(d.runDone, req.Key)
	if err != nil {
		return nil, recordFailure(table, req.Key, err)
	}
	if !answer.IsBuffered() {
		table.FinishWithoutAnswer(req.Key)
		return answer, nil
	}
	stored := StoredAnswer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Body}
	table.FinishWithAnswer(req.Key, stored, stored.size())
	return answer, nil
}

// recordFailure records a failure in the table and returns the error for the
// caller. The error reports that the order did not run only if the table could
// record the refusal.
func recordFailure(table *Table, key string, err error) error {
	var failure *answerer.Failure
	if !errors.As(err, &failure) || failure.Outcome() != answerer.OutcomeNotRun {
		table.FinishUnknown(key)
		return err
	}
	if !table.Refuse(key) {
		return &answerer.Failure{Kind: answerer.KindOutcomeUnknown, Cause: err}
	}
	return failure
}

// replay returns the stored answer for a caller. The headers are a copy, because
// the receiver of the answer may change them.
func (a StoredAnswer) replay() *forwarder.Answer {
	return &forwarder.Answer{
		Status:   a.Status,
		Header:   a.Header.Clone(),
		Length:   int64(len(a.Body)),
		Body:     a.Body,
		Replayed: true,
	}
}

// forward sends an order to the instance that now holds the table of its home.
func (d *Dispatcher) forward(ctx context.Context, home lagoonstile.Home, req *forwarder.Request) (*forwarder.Answer, error) {
	reply, err := d.peers.ForwardOrder(ctx, home, newOrder(req))
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindOutcomeUnknown, Cause: err}
	}
	return reply.answer()
}

// await waits until the channel is closed or the context is done. It returns false
// if the context was done first.
func await(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
