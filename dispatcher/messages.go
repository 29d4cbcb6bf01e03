package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/deduplicator"
	"lagoonstile/forwarder"
	"lagoonstile/router"
)

// Order is a request on its way to its home.
type Order struct {
	ID      string                `cbor:"1,keyasint"`
	Service lagoonstile.ServiceID `cbor:"2,keyasint"`
	Rank    lagoonstile.Rank      `cbor:"3,keyasint"`
	Caller  lagoonstile.CallerID  `cbor:"4,keyasint"`
	Key     string                `cbor:"5,keyasint"`
	// Remaining is the time left when the order was sent; clocks of instances
	// need not agree.
	Remaining time.Duration `cbor:"6,keyasint"`
	Method    string        `cbor:"7,keyasint"`
	URI       string        `cbor:"8,keyasint"`
	Host      string        `cbor:"9,keyasint,omitempty"`
	Header    http.Header   `cbor:"10,keyasint,omitempty"`
	Body      []byte        `cbor:"11,keyasint,omitempty"`
}

func orderOf(req *forwarder.Request) Order {
	return Order{
		ID:        req.ID,
		Service:   req.Entry.Service.ID,
		Rank:      req.Rank,
		Caller:    req.Caller,
		Key:       req.Key,
		Remaining: time.Until(req.Deadline),
		Method:    req.Method,
		URI:       req.URI,
		Host:      req.Host,
		Header:    req.Header,
		Body:      req.Body,
	}
}

func (o *Order) request(entry *router.Entry, now time.Time) *forwarder.Request {
	return &forwarder.Request{
		ID:       o.ID,
		Entry:    entry,
		Rank:     o.Rank,
		Caller:   o.Caller,
		Deadline: now.Add(o.Remaining),
		Key:      o.Key,
		Method:   o.Method,
		URI:      o.URI,
		Host:     o.Host,
		Header:   o.Header,
		Body:     o.Body,
	}
}

// Reply is what the home says of an order. Exactly one of Answer and Kind is
// set.
type Reply struct {
	Answer     *Kept         `cbor:"1,keyasint,omitempty"`
	Replayed   bool          `cbor:"2,keyasint,omitempty"`
	Kind       answerer.Kind `cbor:"3,keyasint,omitempty"`
	MayHaveRun bool          `cbor:"4,keyasint,omitempty"`
}

// known says whether this instance's closed list has the reply's kind; a newer
// peer may have others.
func (r *Reply) known() bool {
	for _, entry := range answerer.Table() {
		if entry.Kind == r.Kind {
			return true
		}
	}
	return false
}

func (r *Reply) answer() (*forwarder.Answer, error) {
	switch {
	case r.Answer != nil:
		answer := r.Answer.replay()
		answer.Replayed = r.Replayed
		return answer, nil
	case r.known():
		return nil, &answerer.Failure{Kind: r.Kind, MayHaveRun: r.MayHaveRun}
	}
	return nil, &answerer.Failure{Kind: answerer.KindOutcomeUnknown}
}

// Serve answers an order that a peer passed on. The entry is that of the
// order's service, or nil when this instance does not know it.
func (d *Dispatcher) Serve(ctx context.Context, order *Order, entry *router.Entry) Reply {
	home, _, err := lagoonstile.SplitKey(order.Key)
	table := d.table(home)
	if err != nil || entry == nil || table == nil {
		return Reply{Kind: answerer.KindOutcomeUnknown}
	}
	req := order.request(entry, time.Now())
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, err := d.local(ctx, table, home, req)
	if errors.Is(err, errHandedOver) {
		return d.follow(ctx, home, order)
	}
	if err != nil {
		return replyOf(err)
	}
	defer answer.Close()
	if !answer.Whole() {
		// An answer that is too large to keep does not fit a message either.
		return Reply{Kind: answerer.KindAlreadyRan}
	}
	return Reply{Answer: &Kept{Status: answer.Status, Header: answer.Header, Body: answer.Body}, Replayed: answer.Replayed}
}

// follow passes a peer's order on to the instance that took over meanwhile.
func (d *Dispatcher) follow(ctx context.Context, home lagoonstile.Home, order *Order) Reply {
	reply, err := d.peers.Order(ctx, home, *order)
	if err != nil {
		return Reply{Kind: answerer.KindOutcomeUnknown}
	}
	return reply
}

// replyOf passes a failure on.
func replyOf(err error) Reply {
	var failure *answerer.Failure
	if !errors.As(err, &failure) {
		return Reply{Kind: answerer.KindOutcomeUnknown}
	}
	return Reply{Kind: failure.Kind, MayHaveRun: failure.MayHaveRun}
}

// Page is one part of a table on its way to a successor.
type Page struct {
	Home lagoonstile.Home `cbor:"1,keyasint"`
	// Number counts the pages of a home from 0 on; Last is set on the last one.
	Number  int                        `cbor:"2,keyasint"`
	Last    bool                       `cbor:"3,keyasint,omitempty"`
	Entries []deduplicator.Entry[Kept] `cbor:"4,keyasint,omitempty"`
}
