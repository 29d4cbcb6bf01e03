// Package quarantiner keeps a request that crashes servers from crashing one
// after the other.
//
// When a server crashes, every request in flight at it is a suspect, for
// nobody can see which one did it. A suspect runs again only alone on a
// server, so that a second crash tells: it can be put down to nothing else,
// and then the request is quarantined on every instance of the cell. An
// innocent neighbour ends well when it runs alone, and is cleared.
package quarantiner

import (
	"maps"
	"slices"
	"time"

	"lagoonstile"
)

// Print tells requests apart by what they ask for.
type Print uint64

// Timing and bounds.
const (
	// suspectFor is how long a crash is held against a request.
	suspectFor = time.Minute
	// quarantineFor is how long a request is kept from running.
	quarantineFor = time.Hour
	// defaultProof is how many crashes are proof where the keeper says nothing.
	defaultProof = 2
	// maxPrints bounds suspects and quarantined requests, each.
	maxPrints = 1024
)

// Admission says how a request may run.
type Admission string

// The admissions.
const (
	Freely Admission = "freely"
	Alone  Admission = "alone"
	Not    Admission = "not"
)

// Keeper is what one instance knows. The zero value suspects nobody. It is not
// safe for concurrent use.
type Keeper struct {
	// Proof is how many crashes are proof; 0 stands for two. Where suspects do not
	// run alone, chance may put one request at two crashes.
	Proof int

	suspects map[Print]*suspect
	// until holds when each quarantine ends.
	until map[Print]time.Time
}

type suspect struct {
	// crashes counts those of this instance, peers those that each peer told of.
	crashes int
	peers   map[lagoonstile.InstanceID]int
	last    time.Time
	// cleared is when the request last ended well alone. Crashes that peers
	// told of before do not count any more.
	cleared time.Time
}

// Admit says how a request may run.
func (k *Keeper) Admit(now time.Time, print Print) Admission {
	if now.Before(k.until[print]) {
		return Not
	}
	s := k.suspects[print]
	if s == nil || now.Sub(s.last) > suspectFor || s.count() == 0 {
		return Freely
	}
	return Alone
}

// Crashed notes that a server crashed while the request was in flight at it,
// and reports whether the request is quarantined by that.
func (k *Keeper) Crashed(now time.Time, print Print) bool {
	s := k.suspect(now, print)
	s.crashes++
	s.last = now
	return k.judge(now, print, s)
}

// PeerCrashed notes how many crashes a peer counts for the request.
func (k *Keeper) PeerCrashed(now time.Time, peer lagoonstile.InstanceID, print Print, crashes int) bool {
	s := k.suspect(now, print)
	if now.Sub(s.cleared) <= suspectFor || crashes <= s.peers[peer] {
		return false
	}
	if s.peers == nil {
		s.peers = make(map[lagoonstile.InstanceID]int)
	}
	s.peers[peer] = crashes
	s.last = now
	return k.judge(now, print, s)
}

// Cleared notes that a suspect ended well while it ran alone.
func (k *Keeper) Cleared(now time.Time, print Print) {
	s := k.suspects[print]
	if s == nil {
		return
	}
	s.crashes = 0
	s.peers = nil
	s.cleared = now
}

// Quarantine takes over what a peer says. It reports whether that is news.
func (k *Keeper) Quarantine(now time.Time, print Print) bool {
	if now.Before(k.until[print]) {
		return false
	}
	if k.until == nil {
		k.until = make(map[Print]time.Time)
	}
	k.expire(now)
	if len(k.until) >= maxPrints {
		return false
	}
	k.until[print] = now.Add(quarantineFor)
	return true
}

// Quarantined lists the requests that must not run, sorted.
func (k *Keeper) Quarantined(now time.Time) []Print {
	k.expire(now)
	return slices.Sorted(maps.Keys(k.until))
}

// Suspects returns this instance's own crash counts, for peers.
func (k *Keeper) Suspects(now time.Time) map[Print]int {
	out := make(map[Print]int)
	for print, s := range k.suspects {
		if s.crashes > 0 && now.Sub(s.last) <= suspectFor {
			out[print] = s.crashes
		}
	}
	return out
}

func (s *suspect) count() int {
	n := s.crashes
	for _, crashes := range s.peers {
		n += crashes
	}
	return n
}

func (k *Keeper) judge(now time.Time, print Print, s *suspect) bool {
	proof := k.Proof
	if proof == 0 {
		proof = defaultProof
	}
	return s.count() >= proof && k.Quarantine(now, print)
}

// suspect returns the record of a request and makes room for it.
func (k *Keeper) suspect(now time.Time, print Print) *suspect {
	if k.suspects == nil {
		k.suspects = make(map[Print]*suspect)
	}
	if s := k.suspects[print]; s != nil {
		if now.Sub(s.last) > suspectFor {
			*s = suspect{last: now, cleared: s.cleared}
		}
		return s
	}
	k.expire(now)
	if len(k.suspects) >= maxPrints {
		k.dropOldest()
	}
	s := &suspect{last: now}
	k.suspects[print] = s
	return s
}

func (k *Keeper) dropOldest() {
	var oldest Print
	var at time.Time
	for print, s := range k.suspects {
		if at.IsZero() || s.last.Before(at) {
			oldest, at = print, s.last
		}
	}
	delete(k.suspects, oldest)
}

func (k *Keeper) expire(now time.Time) {
	maps.DeleteFunc(k.suspects, func(_ Print, s *suspect) bool {
		return now.Sub(s.last) > suspectFor && now.Sub(s.cleared) > suspectFor
	})
	maps.DeleteFunc(k.until, func(_ Print, until time.Time) bool { return !now.Before(until) })
}
