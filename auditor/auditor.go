// Package auditor queues audit events, which record operators' changes and the
// fleet's decisions, until they are written to the platform's log.
//
// The audit trail must neither delay a decision nor use unbounded memory while
// the log is unavailable. The queue is therefore bounded: when it is full, the
// oldest events are dropped, and the number of dropped events is written to the
// trail.
package auditor

import (
	"fmt"
	"time"

	"lagoonstile"
)

// Kind is the type of an event.
type Kind string

// The event kinds.
const (
	KindInForce        Kind = "in-force"
	KindRefused        Kind = "change-refused"
	KindEjected        Kind = "ejected"
	KindSteered        Kind = "steered"
	KindHeldAtFloor    Kind = "held-at-floor"
	KindTrial          Kind = "trial"
	KindReadmitted     Kind = "readmitted"
	KindServerDraining Kind = "server-leaving"
	KindQuarantined    Kind = "quarantined"
	KindLimitChanged   Kind = "limit-changed"
	KindStarted        Kind = "instance-started"
	KindDraining       Kind = "instance-draining"
	KindHandover       Kind = "keys-handed-over"
	KindDropped        Kind = "events-dropped"
)

// Event is one event of the audit trail.
type Event struct {
	At       time.Time              `json:"at"`
	Instance lagoonstile.InstanceID `json:"instance"`
	Kind     Kind                   `json:"kind"`
	Service  lagoonstile.ServiceID  `json:"service,omitempty"`
	Server   lagoonstile.ServerID   `json:"server,omitempty"`
	Version  lagoonstile.Version    `json:"version,omitempty"`
	Change   lagoonstile.ChangeID   `json:"change,omitempty"`
	Author   string                 `json:"author,omitempty"`
	// Detail gives the reason, with the relevant figures.
	Detail string `json:"detail,omitempty"`
}

// Batch is one record of the audit stream.
type Batch struct {
	Events []Event `json:"events"`
}

// Limits of the queue, in events.
const (
	maxWaiting = 4096
	maxBatch   = 200
	maxRecent  = 200
)

// Queue holds the events that have not been written yet, and the latest events
// for the admin listener. The zero value is empty. It is not safe for concurrent
// use.
type Queue struct {
	// waiting holds at most maxWaiting events, oldest first.
	waiting []Event
	// dropped is the number of events dropped since the queue was created or since
	// Done was last called with a batch that reports drops.
	dropped int
	// recent holds the latest events, oldest first.
	recent []Event
}

// Add appends an event. If the queue is full, it drops the oldest one.
func (q *Queue) Add(event Event) {
	q.waiting = append(q.waiting, event)
	// Slicing off the front copies nothing. The append above moves the remaining
	// events to a new array only when the old one is full, so a burst of events is
	// not copied on each call.
	if excess := len(q.waiting) - maxWaiting; excess > 0 {
		q.waiting = q.waiting[excess:]
		q.dropped += excess
	}
	q.recent = append(q.recent, event)
	if excess := len(q.recent) - maxRecent; excess > 0 {
		q.recent = q.recent[excess:]
	}
}

// Recent returns the latest events, oldest first.
func (q *Queue) Recent() []Event { return append([]Event(nil), q.recent...) }

// Waiting returns the number of events that have not been written yet.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Next returns the oldest events as a batch. If events were dropped, the batch
// also has an event with their number. The events stay in the queue until Done.
// The second result is false if no event is waiting.
func (q *Queue) Next(now time.Time, instance lagoonstile.InstanceID) (Batch, bool) {
	if len(q.waiting) == 0 {
		return Batch{}, false
	}
	n := min(len(q.waiting), maxBatch)
	batch := Batch{Events: append([]Event(nil), q.waiting[:n]...)}
	if q.dropped > 0 {
		detail := fmt.Sprintf("events=%d", q.dropped)
		batch.Events = append(batch.Events, Event{At: now, Instance: instance, Kind: KindDropped, Detail: detail})
	}
	return batch, true
}

// Done removes the events of a written batch from the queue. If the response to
// the append of a batch is lost, its events are written again. So each event that
// is not dropped is written at least once, and possibly more than once.
func (q *Queue) Done(batch Batch) {
	written := len(batch.Events)
	if written > 0 && batch.Events[written-1].Kind == KindDropped {
		written--
		q.dropped = 0
	}
	// Events of the batch may have been dropped from the queue in the meantime,
	// because they are the oldest ones.
	for written > 0 && len(q.waiting) > 0 {
		if q.waiting[0] == batch.Events[0] {
			q.waiting = q.waiting[1:]
		}
		batch.Events = batch.Events[1:]
		written--
	}
}
