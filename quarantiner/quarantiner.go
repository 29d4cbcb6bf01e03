// Package quarantiner stops a request that crashes servers from crashing one
// server after another.
//
// When a server crashes, every request that was in flight to it becomes a
// suspect, because any of them may have caused the crash. A suspect runs again
// only while no other request runs on the same server. If that server crashes
// too, the suspect is the only possible cause, and it is quarantined. If the
// suspect ends without a crash, it is cleared. Instances send their crash counts to
// their peers, so that a request is quarantined on all of them.
package quarantiner

import (
	"maps"
	"slices"
	"time"

	"lagoonstile"
)

// Fingerprint identifies the content of a request. Requests with the same content
// have the same fingerprint.
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

// Admission is the decision on whether and how a request may run.
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
	// CrashThreshold is the number of crashes after which a request is quarantined;
	// 0 means 2. A higher threshold is needed where suspects do not run in isolation,
	// as in package relayer, because a harmless request can then be in flight at two
	// crashes by chance.
	CrashThreshold int

	// suspects also holds cleared requests until suspicionTTL has passed.
	suspects map[Fingerprint]*suspect
	// quarantineEnds holds the time at which each quarantine ends.
	quarantineEnds map[Fingerprint]time.Time
}

// suspect is the crash record of one request.
type suspect struct {
	// localCrashes counts the crashes seen by this instance, and peerCrashes those
	// reported by each peer.
	localCrashes int
	peerCrashes  map[lagoonstile.InstanceID]int
	lastCrash    time.Time
	// clearedAt is when the request was last cleared. Peer reports are ignored for
	// suspicionTTL after that, because they may count earlier crashes.
	clearedAt time.Time
}

// Admit returns whether and how a request may run.
func (t *Tracker) Admit(now time.Time, fingerprint Fingerprint) Admission {
	if now.Before(t.quarantineEnds[fingerprint]) {
		return Denied
	}
	s := t.suspects[fingerprint]
	if s == nil || now.Sub(s.lastCrash) > suspicionTTL || s.totalCrashes() == 0 {
		return Unrestricted
	}
	return Isolated
}

// RecordCrash records that a server crashed while the request was in flight to it.
// It reports whether the request was quarantined as a result.
func (t *Tracker) RecordCrash(now time.Time, fingerprint Fingerprint) bool {
	s := t.suspectRecord(now, fingerprint)
	s.localCrashes++
	s.lastCrash = now
	return t.quarantineAtThreshold(now, fingerprint, s)
}

// RecordPeerCrashes records the number of crashes that a peer has counted for the
// request. It reports whether the request was quarantined as a result. It ignores a
// count that is not higher than the previous one from that peer, and any count for a
// request that was cleared at most suspicionTTL ago.
func (t *Tracker) RecordPeerCrashes(now time.Time, peer lagoonstile.InstanceID, fingerprint Fingerprint, crashes int) bool {
	s := t.suspectRecord(now, fingerprint)
	if now.Sub(s.clearedAt) <= suspicionTTL || crashes <= s.peerCrashes[peer] {
		return false
	}
	if s.peerCrashes == nil {
		s.peerCrashes = make(map[lagoonstile.InstanceID]int)
	}
	s.peerCrashes[peer] = crashes
	s.lastCrash = now
	return t.quarantineAtThreshold(now, fingerprint, s)
}

// Clear records that a suspect ended without a crash. Where suspects run in
// isolation, only such a run may clear them.
func (t *Tracker) Clear(now time.Time, fingerprint Fingerprint) {
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	s.localCrashes = 0
	s.peerCrashes = nil
	s.clearedAt = now
}

// Quarantine puts a request in quarantine. It is also used for the requests that a
// peer reports as quarantined. It returns false if the request is already in
// quarantine or if there is no room for another one.
func (t *Tracker) Quarantine(now time.Time, fingerprint Fingerprint) bool {
	if now.Before(t.quarantineEnds[fingerprint]) {
		return false
	}
	if t.quarantineEnds == nil {
		t.quarantineEnds = make(map[Fingerprint]time.Time)
	}
	t.expire(now)
	if len(t.quarantineEnds) >= maxFingerprints {
		return false
	}
	t.quarantineEnds[fingerprint] = now.Add(quarantineTTL)
	return true
}

// Quarantined returns the fingerprints of the quarantined requests in ascending
// order.
func (t *Tracker) Quarantined(now time.Time) []Fingerprint {
	t.expire(now)
	return slices.Sorted(maps.Keys(t.quarantineEnds))
}

// Suspects returns the crash counts of the current suspects, to be sent to the peers.
// They do not include the counts that peers have reported.
func (t *Tracker) Suspects(now time.Time) map[Fingerprint]int {
	counts := make(map[Fingerprint]int)
	for fingerprint, s := range t.suspects {
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

// quarantineAtThreshold quarantines a request that has reached the crash threshold.
// It reports whether it did.
func (t *Tracker) quarantineAtThreshold(now time.Time, fingerprint Fingerprint, s *suspect) bool {
	threshold := t.CrashThreshold
	if threshold == 0 {
		threshold = defaultCrashThreshold
	}
	return s.totalCrashes() >= threshold && t.Quarantine(now, fingerprint)
}

// suspectRecord returns the record of a request. It creates one if there is none,
// and drops the oldest record if there is no room. It resets the counts of a record
// whose last crash is more than suspicionTTL ago.
func (t *Tracker) suspectRecord(now time.Time, fingerprint Fingerprint) *suspect {
	if t.suspects == nil {
		t.suspects = make(map[Fingerprint]*suspect)
	}
	if s := t.suspects[fingerprint]; s != nil {
		if now.Sub(s.lastCrash) > suspicionTTL {
			*s = suspect{lastCrash: now, clearedAt: s.clearedAt}
		}
		return s
	}
	t.expire(now)
	if len(t.suspects) >= maxFingerprints {
		t.dropOldest()
	}
	s := &suspect{lastCrash: now}
	t.suspects[fingerprint] = s
	return s
}

// dropOldest removes the suspect whose last crash is the oldest.
func (t *Tracker) dropOldest() {
	var oldest Fingerprint
	var oldestCrash time.Time
	for fingerprint, s := range t.suspects {
		if oldestCrash.IsZero() || s.lastCrash.Before(oldestCrash) {
			oldest, oldestCrash = fingerprint, s.lastCrash
		}
	}
	delete(t.suspects, oldest)
}

// expire removes the suspects and quarantines that have expired.
func (t *Tracker) expire(now time.Time) {
	maps.DeleteFunc(t.suspects, func(_ Fingerprint, s *suspect) bool {
		return now.Sub(s.lastCrash) > suspicionTTL && now.Sub(s.clearedAt) > suspicionTTL
	})
	maps.DeleteFunc(t.quarantineEnds, func(_ Fingerprint, end time.Time) bool { return !now.Before(end) })
}
