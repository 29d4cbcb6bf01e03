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

// Order is the message that forwards an order to its home.
type Order struct {
	ID      string                `cbor:"1,keyasint"`
	Service lagoonstile.ServiceID `cbor:"2,keyasint"`
	Rank    lagoonstile.Rank      `cbor:"3,keyasint"`
	Caller  lagoonstile.CallerID  `cbor:"4,keyasint"`
	Key     string                `cbor:"5,keyasint"`
	// Remaining is the time left until the deadline when the message was sent. It
	// is relative because the clocks of the instances may differ.
	Remaining time.Duration `cbor:"6,keyasint"`
	Method    string        `cbor:"7,keyasint"`
	URI       string        `cbor:"8,keyasint"`
	Host      string        `cbor:"9,keyasint,omitempty"`
	Header    http.Header   `cbor:"10,keyasint,omitempty"`
	Body      []byte        `cbor:"11,keyasint,omitempty"`
}

// newOrder returns the message for a request.
func newOrder(req *forwarder.Request) Order {
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

// request returns the request for a message that was received at the given time.
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

// Reply is the home's reply to a forwarded order. Exactly one of Answer and Kind
// is set.
type Reply struct {
	Answer     *StoredAnswer `cbor:"1,keyasint,omitempty"`
	Replayed   bool          `cbor:"2,keyasint,omitempty"`
	Kind       answerer.Kind `cbor:"3,keyasint,omitempty"`
	MayHaveRun bool          `cbor:"4,keyasint,omitempty"`
}

// knownKind reports whether this instance knows the kind of the reply. A peer that
// runs a newer version may send other kinds.
func (r *Reply) knownKind() bool {
	for _, entry := range answerer.Table() {
		if entry.Kind == r.Kind {
			return true
		}
	}
	return false
}

// answer returns the answer or the failure that the reply contains. A failure of an
// unknown kind becomes an unknown outcome.
func (r *Reply) answer() (*forwarder.Answer, error) {
	switch {
	case r.Answer != nil:
		answer := r.Answer.replay()
		answer.Replayed = r.Replayed
		return answer, nil
	case r.knownKind():
		return nil, &answerer.Failure{Kind: r.Kind, MayHaveRun: r.MayHaveRun}
	}
	return nil, &answerer.Failure{Kind: answerer.KindOutcomeUnknown}
}

// Serve answers an order that a peer forwarded. The entry is the router entry of
// the order's service, or nil if this instance does not know the service.
func (d *Dispatcher) Serve(ctx context.Context, order *Order, entry *router.Entry) Reply {
	home, _, err := lagoonstile.SplitKey(order.Key)
	table := d.table(home)
	if err != nil || entry == nil || table == nil {
		return Reply{Kind: answerer.KindOutcomeUnknown}
	}
	req := order.request(entry, time.Now())
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, err := d.handleLocally(ctx, table, home, req)
	if errors.Is(err, errHandoverEnded) {
		return d.forwardToSuccessor(ctx, home, order)
	}
	if err != nil {
		return failureReply(err)
	}
	defer answer.Close()
	if !answer.IsBuffered() {
		// An answer that is too large to store is too large for a message, too.
		return Reply{Kind: answerer.KindAlreadyRan}
	}
	return Reply{Answer: &StoredAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}, Replayed: answer.Replayed}
}

// forwardToSuccessor forwards a peer's order to the instance that took over the
// table.
func (d *Dispatcher) forwardToSuccessor(ctx context.Context, home lagoonstile.Home, order *Order) Reply {
	reply, err := d.peers.ForwardOrder(ctx, home, *order)
	if err != nil {
		return Reply{Kind: answerer.KindOutcomeUnknown}
	}
	return reply
}

// failureReply returns the reply that reports a failure to a peer.
func failureReply(err error) Reply {
	var failure *answerer.Failure
	if !errors.As(err, &failure) {
		return Reply{Kind: answerer.KindOutcomeUnknown}
	}
	return Reply{Kind: failure.Kind, MayHaveRun: failure.MayHaveRun}
}

// Page is one part of a table that is handed over to a successor.
type Page struct {
	Home lagoonstile.Home `cbor:"1,keyasint"`
	// Number is the index of the page, from 0. Last is set on the last page.
	Number  int                                `cbor:"2,keyasint"`
	Last    bool                               `cbor:"3,keyasint,omitempty"`
	Entries []deduplicator.Entry[StoredAnswer] `cbor:"4,keyasint,omitempty"`
}
