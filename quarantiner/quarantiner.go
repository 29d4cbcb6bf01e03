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

// Print is the fingerprint of a request. Requests with the same content have the
// same fingerprint.
type Print uint64

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
	// Freely allows the request to run beside others.
	Freely Admission = "freely"
	// Alone allows the request to run on a server that runs no other request.
	Alone Admission = "alone"
	// Not means that the request is quarantined and must not run.
	Not Admission = "not"
)

// Keeper holds the suspects and quarantined requests that one instance knows of.
// The zero value has none. It is not safe for concurrent use.
type Keeper struct {
	// Proof is the number of crashes that quarantines a request; 0 means 2. A higher
	// threshold is needed where suspects do not run alone, because an innocent
	// request can then be in flight at two crashes by chance.
	Proof int

	// suspects also holds cleared requests until suspicionTTL has passed.
	suspects map[Print]*suspect
	// quarantineEnds holds the time at which each quarantine ends.
	quarantineEnds map[Print]time.Time
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
func (k *Keeper) Admit(now time.Time, fingerprint Print) Admission {
	if now.Before(k.quarantineEnds[fingerprint]) {
		return Not
	}
	s := k.suspects[fingerprint]
	if s == nil || now.Sub(s.lastCrash) > suspicionTTL || s.totalCrashes() == 0 {
		return Freely
	}
	return Alone
}

// Crashed records that a server crashed while the request was in flight to it. It
// reports whether the request is quarantined as a result.
func (k *Keeper) Crashed(now time.Time, fingerprint Print) bool {
	s := k.suspectRecord(now, fingerprint)
	s.localCrashes++
	s.lastCrash = now
	return k.quarantineIfProven(now, fingerprint, s)
}

// PeerCrashed records the number of crashes that a peer counts for the request. It
// reports whether the request is quarantined as a result. It ignores a count that
// is not higher than the previous one from that peer, and any count for a request
// that was cleared at most suspicionTTL ago.
func (k *Keeper) PeerCrashed(now time.Time, peer lagoonstile.InstanceID, fingerprint Print, crashes int) bool {
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

// Cleared records that a suspect ended without a crash while it ran alone.
func (k *Keeper) Cleared(now time.Time, fingerprint Print) {
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
func (k *Keeper) Quarantine(now time.Time, fingerprint Print) bool {
	if now.Before(k.quarantineEnds[fingerprint]) {
		return false
	}
	if k.quarantineEnds == nil {
		k.quarantineEnds = make(map[Print]time.Time)
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
func (k *Keeper) Quarantined(now time.Time) []Print {
	k.expire(now)
	return slices.Sorted(maps.Keys(k.quarantineEnds))
}

// Suspects returns the crash counts of this instance, without those of its peers,
// for the peers to be told.
func (k *Keeper) Suspects(now time.Time) map[Print]int {
	counts := make(map[Print]int)
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
func (k *Keeper) quarantineIfProven(now time.Time, fingerprint Print, s *suspect) bool {
	threshold := k.Proof
	if threshold == 0 {
		threshold = defaultCrashThreshold
	}
	return s.totalCrashes() >= threshold && k.Quarantine(now, fingerprint)
}

// suspectRecord returns the record of a request. It creates one if there is none,
// and drops the oldest record if there is no room.
func (k *Keeper) suspectRecord(now time.Time, fingerprint Print) *suspect {
	if k.suspects == nil {
		k.suspects = make(map[Print]*suspect)
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
func (k *Keeper) dropOldest() {
	var oldest Print
	var oldestCrash time.Time
	for fingerprint, s := range k.suspects {
		if oldestCrash.IsZero() || s.lastCrash.Before(oldestCrash) {
			oldest, oldestCrash = fingerprint, s.lastCrash
		}
	}
	delete(k.suspects, oldest)
}

// expire removes suspects and quarantines whose time is over.
func (k *Keeper) expire(now time.Time) {
	maps.DeleteFunc(k.suspects, func(_ Print, s *suspect) bool {
		return now.Sub(s.lastCrash) > suspicionTTL && now.Sub(s.clearedAt) > suspicionTTL
	})
	maps.DeleteFunc(k.quarantineEnds, func(_ Print, end time.Time) bool { return !now.Before(end) })
}
