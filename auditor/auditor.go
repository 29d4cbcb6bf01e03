// Package auditor keeps the trail of what operators changed and what the fleet
// decided, until it is written to the platform's log.
//
// The trail must never hold up a decision nor fill the memory while the log is
// away, so it is a bounded queue: when it is full the oldest events are dropped
// and counted, and the count goes into the trail in their place.
package auditor

import (
	"fmt"
	"time"

	"lagoonstile"
)

// Kind is what an event is about.
type Kind string

// The kinds of events.
const (
	KindInForce      Kind = "in-force"
	KindRefused      Kind = "change-refused"
	KindEjected      Kind = "ejected"
	KindSteered      Kind = "steered"
	KindHeld         Kind = "held-at-floor"
	KindTrial        Kind = "trial"
	KindReadmitted   Kind = "readmitted"
	KindLeaving      Kind = "server-leaving"
	KindQuarantined  Kind = "quarantined"
	KindLimitChanged Kind = "limit-changed"
	KindStarted      Kind = "instance-started"
	KindDraining     Kind = "instance-draining"
	KindHandover     Kind = "keys-handed-over"
	KindDropped      Kind = "events-dropped"
)

// Event is one line of the trail.
type Event struct {
	At       time.Time              `json:"at"`
	Instance lagoonstile.InstanceID `json:"instance"`
	Kind     Kind                   `json:"kind"`
	Service  lagoonstile.ServiceID  `json:"service,omitempty"`
	Server   lagoonstile.ServerID   `json:"server,omitempty"`
	Version  lagoonstile.Version    `json:"version,omitempty"`
	Change   lagoonstile.ChangeID   `json:"change,omitempty"`
	Author   string                 `json:"author,omitempty"`
	// Detail says why, with figures.
	Detail string `json:"detail,omitempty"`
}

// Batch is one record of the audit stream.
type Batch struct {
	Events []Event `json:"events"`
}

// Bounds of the queue.
const (
	queueEvents = 4096
	batchEvents = 200
	recentKept  = 200
)

// Queue holds the events that are not written yet, and the latest ones for the
// admin listener. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	// waiting never holds more than queueEvents.
	waiting []Event
	// dropped counts events lost since the last batch.
	dropped int
	// recent holds the latest events, oldest first.
	recent []Event
}

// Add puts an event into the trail.
func (q *Queue) Add(event Event) {
	q.waiting = append(q.waiting, event)
	// Cutting off the front costs nothing; append moves what is left to a new
	// array once in a while, so that a flood of events is not copied each time.
	if excess := len(q.waiting) - queueEvents; excess > 0 {
		q.waiting = q.waiting[excess:]
		q.dropped += excess
	}
	q.recent = append(q.recent, event)
	if excess := len(q.recent) - recentKept; excess > 0 {
		q.recent = q.recent[excess:]
	}
}

// Recent returns the latest events, oldest first.
func (q *Queue) Recent() []Event { return append([]Event(nil), q.recent...) }

// Waiting returns how many events are not written yet.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Next returns the oldest events as a batch. They stay in the queue until Done.
func (q *Queue) Next(now time.Time, instance lagoonstile.InstanceID) (Batch, bool) {
	if len(q.waiting) == 0 {
		return Batch{}, false
	}
	n := min(len(q.waiting), batchEvents)
	batch := Batch{Events: append([]Event(nil), q.waiting[:n]...)}
	if q.dropped > 0 {
		detail := fmt.Sprintf("events=%d", q.dropped)
		batch.Events = append(batch.Events, Event{At: now, Instance: instance, Kind: KindDropped, Detail: detail})
	}
	return batch, true
}

// Done takes a batch that was written out of the queue. An append whose answer
// was lost is written again: the trail may hold an event twice, never less.
func (q *Queue) Done(batch Batch) {
	written := len(batch.Events)
	if written > 0 && batch.Events[written-1].Kind == KindDropped {
		written--
		q.dropped = 0
	}
	// Events dropped meanwhile are the oldest ones: those in the batch.
	for written > 0 && len(q.waiting) > 0 {
		if q.waiting[0] == batch.Events[0] {
			q.waiting = q.waiting[1:]
		}
		batch.Events = batch.Events[1:]
		written--
	}
}
