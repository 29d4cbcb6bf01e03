package main

import (
	"sync"
	"time"
)

// tally counts the requests of one kind that were sent in a span of time.
type tally struct{ asked, served int }

func (t tally) share() float64 {
	if t.asked == 0 {
		return 0
	}
	return float64(t.served) / float64(t.asked)
}

// outcome is a request that has ended.
type outcome struct {
	kind   string
	node   string
	sentAt time.Time
	answer answer
}

// outcomes collects the outcomes of all clients and writes them to the record.
type outcomes struct {
	w  *world
	mu sync.Mutex

	list []outcome
}

func (o *outcomes) add(one outcome) {
	o.mu.Lock()
	o.list = append(o.list, one)
	o.mu.Unlock()
	o.w.writeRecord("%s to %s sent at %.3f: %s", one.kind, one.node, one.sentAt.Sub(o.w.started).Seconds(), one.answer)
}

// between counts the requests of a kind that were sent in a span of time.
func (o *outcomes) between(kind string, from, until time.Time) tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	var t tally
	for _, one := range o.list {
		if one.kind == kind && one.sentAt.After(from) && one.sentAt.Before(until) {
			t.asked++
			if one.answer.signed() {
				t.served++
			}
		}
	}
	return t
}
