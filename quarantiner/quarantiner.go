// Package quarantiner stops a request that crashes servers from crashing one
// server after another.
//
// When a server crashes, every request that was in flight to it becomes a
// suspect, because any of them may have caused the crash. A suspect runs again
// only while no other request runs on the same server. If that server crashes
// too, the suspect is the only possible cause, and it is quarantined on every
// instance of the cell. If the suspect ends without a crash, it is cleared.
package quarantiner

import (
	"maps"
	"slices"
	"time"

	"lagoonstile"
)

// Fingerprint is the fingerprint of a request. Requests with the same content have the
// same fingerprint.
type Fingerprint uint64

// Durations and limits.
const (
	// suspicionTTL is how long a request stays a suspect after a crash.
	suspicionTTL = time.Minute
	// quarantineTTL is how long a quarantined request is refused.
	quarantineTTL = time.Hour
	// defaultCrashThreshold is the number of crashes that quarantines a request
	// if no other threshold is set.
	defaultCrashThreshold = 2
	// maxFingerprints is the maximum number of suspects, and also of quarantined
	// requests.
	maxFingerprints = 1024
)

// Admission says whether and how a request may run.
type Admission string

// The admissions.
const (
	// Unrestricted allows the request to run beside others.
	Unrestricted Admission = "freely"
	// Isolated allows the request to run on a server that runs no other request.
	Isolated Admission = "alone"
	// Denied means that the request is quarantined and must not run.
	Denied Admission = "not"
)

// Tracker holds the suspects and quarantined requests that one instance knows of.
// The zero value has none. It is not safe for concurrent use.
type Tracker struct {
	// CrashThreshold is the number of crashes that quarantines a request; 0 means 2. A higher
	// threshold is needed where suspects do not run alone, because an innocent
	// request can then be in flight at two crashes by chance.
	CrashThreshold int

	// suspects also holds cleared requests until suspicionTTL has passed.
	suspects map[Fingerprint]*suspect
	// quarantineEnds holds the time at which each quarantine ends.
	quarantineEnds map[Fingerprint]time.Time
}

// suspect is the record of crashes with one request in flight.
type suspect struct {
	// localCrashes counts the crashes seen by this instance, and peerCrashes those
	// reported by each peer.
	localCrashes int
	peerCrashes  map[lagoonstile.InstanceID]int
	lastCrash    time.Time
	// clearedAt is when the request last ended without a crash while it ran alone.
	// Peer reports are ignored for suspicionTTL after that, because they may
	// count earlier crashes.
	clearedAt time.Time
}

// Admit returns whether and how a request may run.
func (k *Tracker) Admit(now time.Time, fingerprint Fingerprint) Admission {
	if now.Before(k.quarantineEnds[fingerprint]) {
		return Denied
	}
	s := k.suspects[fingerprint]
	if s == nil || now.Sub(s.lastCrash) > suspicionTTL || s.totalCrashes() == 0 {
		return Unrestricted
	}
	return Isolated
}

// RecordCrash records that a server crashed while the request was in flight to it. It
// reports whether the request is quarantined as a result.
func (k *Tracker) RecordCrash(now time.Time, fingerprint Fingerprint) bool {
	s := k.suspectRecord(now, fingerprint)
	s.localCrashes++
	s.lastCrash = now
	return k.quarantineIfProven(now, fingerprint, s)
}

// RecordPeerCrashes records the number of crashes that a peer counts for the request. It
// reports whether the request is quarantined as a result. It ignores a count that
// is not higher than the previous one from that peer, and any count for a request
// that was cleared at most suspicionTTL ago.
func (k *Tracker) RecordPeerCrashes(now time.Time, peer lagoonstile.InstanceID, fingerprint Fingerprint, crashes int) bool {
	s := k.suspectRecord(now, fingerprint)
	if now.Sub(s.clearedAt) <= suspicionTTL || crashes <= s.peerCrashes[peer] {
		return false
	}
	if s.peerCrashes == nil {
		s.peerCrashes = make(map[lagoonstile.InstanceID]int)
	}
	s.peerCrashes[peer] = crashes
	s.lastCrash = now
	return k.quarantineIfProven(now, fingerprint, s)
}

// Clear records that a suspect ended without a crash while it ran alone.
func (k *Tracker) Clear(now time.Time, fingerprint Fingerprint) {
	s := k.suspects[fingerprint]
	if s == nil {
		return
	}
	s.localCrashes = 0
	s.peerCrashes = nil
	s.clearedAt = now
}

// Quarantine puts a request in quarantine, also when a peer reports it as
// quarantined. It returns false if the request is quarantined already or if
// there is no room for another one.
func (k *Tracker) Quarantine(now time.Time, fingerprint Fingerprint) bool {
	if now.Before(k.quarantineEnds[fingerprint]) {
		return false
	}
	if k.quarantineEnds == nil {
		k.quarantineEnds = make(map[Fingerprint]time.Time)
	}
	k.expire(now)
	if len(k.quarantineEnds) >= maxFingerprints {
		return false
	}
	k.quarantineEnds[fingerprint] = now.Add(quarantineTTL)
	return true
}

// Quarantined returns the fingerprints of the quarantined requests in ascending
// order.
func (k *Tracker) Quarantined(now time.Time) []Fingerprint {
	k.expire(now)
	return slices.Sorted(maps.Keys(k.quarantineEnds))
}

// Suspects returns the crash counts of this instance, without those of its peers,
// for the peers to be told.
func (k *Tracker) Suspects(now time.Time) map[Fingerprint]int {
	counts := make(map[Fingerprint]int)
	for fingerprint, s := range k.suspects {
		if s.localCrashes > 0 && now.Sub(s.lastCrash) <= suspicionTTL {
			counts[fingerprint] = s.localCrashes
		}
	}
	return counts
}

// totalCrashes returns the number of crashes seen by this instance and its peers.
func (s *suspect) totalCrashes() int {
	total := s.localCrashes
	for _, crashes := range s.peerCrashes {
		total += crashes
	}
	return total
}

// quarantineIfProven quarantines a request that has reached the crash threshold.
// It reports whether it did.
func (k *Tracker) quarantineIfProven(now time.Time, fingerprint Fingerprint, s *suspect) bool {
	threshold := k.CrashThreshold
	if threshold == 0 {
		threshold = defaultCrashThreshold
	}
	return s.totalCrashes() >= threshold && k.Quarantine(now, fingerprint)
}

// suspectRecord returns the record of a request. It creates one if there is none,
// and drops the oldest record if there is no room.
func (k *Tracker) suspectRecord(now time.Time, fingerprint Fingerprint) *suspect {
	if k.suspects == nil {
		k.suspects = make(map[Fingerprint]*suspect)
	}
	if s := k.suspects[fingerprint]; s != nil {
		if now.Sub(s.lastCrash) > suspicionTTL {
			*s = suspect{lastCrash: now, clearedAt: s.clearedAt}
		}
		return s
	}
	k.expire(now)
	if len(k.suspects) >= maxFingerprints {
		k.dropOldest()
	}
	s := &suspect{lastCrash: now}
	k.suspects[fingerprint] = s
	return s
}

// dropOldest removes the suspect whose last crash is the oldest.
func (k *Tracker) dropOldest() {
	var oldest Fingerprint
	var oldestCrash time.Time
	for fingerprint, s := range k.suspects {
		if oldestCrash.IsZero() || s.lastCrash.Before(oldestCrash) {
			oldest, oldestCrash = fingerprint, s.lastCrash
		}
	}
	delete(k.suspects, oldest)
}

// expire removes suspects and quarantines whose time is over.
func (k *Tracker) expire(now time.Time) {
	maps.DeleteFunc(k.suspects, func(_ Fingerprint, s *suspect) bool {
		return now.Sub(s.lastCrash) > suspicionTTL && now.Sub(s.clearedAt) > suspicionTTL
	})
	maps.DeleteFunc(k.quarantineEnds, func(_ Fingerprint, end time.Time) bool { return !now.Before(end) })
}
