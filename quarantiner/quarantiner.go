// Package quarantiner stops a request that crashes servers from crashing one
// server after another.
//
// When a server crashes, every request that was in flight to it becomes a
// suspect, because any of them may have caused the crash. One crash, or many at the
// same moment, tell no more than that: a popular request is in flight at every
// server, so it is there whenever some of them fail. What tells a harmful request
// from a harmless one is the order of its runs. Each run of a harmful request ends
// with a crash, also the runs that begin after an earlier crash is known. A harmless
// one is completed by some server sooner or later.
//
// A Tracker therefore counts a row of crashes. A crash lengthens the row only if
// its run began when the whole row was known, and a run that ends without a crash
// ends the row. A request with a row as long as the threshold is quarantined: it
// must not run for a time that grows with each further crash. Where suspects run in
// isolation, every crash of the row but the first is that of a server with nothing
// else to run.
//
// Instances send their Evidence to their peers, so that a request is quarantined, and
// cleared, on all of them.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Fingerprint identifies the content of a request. Requests with the same content
// have the same fingerprint.
type Fingerprint uint64

// Durations and limits.
const (
	// suspicionTTL is how long a request stays a suspect after a crash, and how long
	// a cleared one is remembered.
	suspicionTTL = time.Minute
	// firstQuarantine is how long a quarantined request is refused at first. Each
	// further crash makes that quarantineGrowth times as long, up to maxQuarantine.
	firstQuarantine  = time.Minute
	quarantineGrowth = 4
	maxQuarantine    = time.Hour
	// quarantineTTL is how long the row of crashes of a quarantined request is kept.
	quarantineTTL = 2 * time.Hour
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

// Evidence is what is known of a suspect. The zero value is that of a request that
// nothing is known against.
//
// Evidence is ordered: a longer row of crashes outranks a shorter one, and a clearance
// outranks all crashes of runs that began before it was known. Instances agree on the
// highest Evidence that any of them has, as with a logical clock (Lamport, Time,
// Clocks, and the Ordering of Events in a Distributed System, 1978).
type Evidence struct {
	// Clearances is the number of times that a row of crashes has ended because the
	// request was completed.
	Clearances int
	// Crashes is the length of the present row.
	Crashes int
}

// Compare returns a negative number if e is lower than other, a positive one if it is
// higher, and 0 if they are the same.
func (e Evidence) Compare(other Evidence) int {
	if order := cmp.Compare(e.Clearances, other.Clearances); order != 0 {
		return order
	}
	return cmp.Compare(e.Crashes, other.Crashes)
}

// Tracker holds the suspects and quarantined requests that one instance knows of.
// The zero value has none. It is not safe for concurrent use.
type Tracker struct {
	// CrashThreshold is the length of a row of crashes that quarantines a request; 0
	// means 2. A higher threshold is needed where suspects do not run in isolation,
	// as in package relayer, because a harmless request can then be in flight at two
	// crashes in a row by chance.
	CrashThreshold int

	suspects    map[Fingerprint]*suspect
	quarantined map[Fingerprint]*suspect
}

// suspect is the record of one request. It is in Tracker.quarantined if its row of
// crashes has reached the threshold, and else in Tracker.suspects.
type suspect struct {
	evidence Evidence
	// changed is when the evidence last changed.
	changed time.Time
	// own is true if a run of this instance changed the evidence last.
	own bool
}

// Admit returns whether and how a request may run.
func (t *Tracker) Admit(now time.Time, fingerprint Fingerprint) Admission {
	s := t.lookup(now, fingerprint)
	switch {
	case s == nil || s.evidence.Crashes == 0:
		return Unrestricted
	case t.refuses(now, s):
		return Denied
	}
	return Isolated
}

// Evidence returns what is known of a request. It must be asked for when a run begins,
// for RecordCrash.
func (t *Tracker) Evidence(now time.Time, fingerprint Fingerprint) Evidence {
	if s := t.lookup(now, fingerprint); s != nil {
		return s.evidence
	}
	return Evidence{}
}

// RecordCrash records that a server crashed during a run of the request. The parameter
// known is the evidence that was known when that run began. RecordCrash returns the
// evidence that the crash alone gives, and reports whether a quarantine of the request
// began as a result.
func (t *Tracker) RecordCrash(now time.Time, fingerprint Fingerprint, known Evidence) (Evidence, bool) {
	crash := Evidence{Clearances: known.Clearances, Crashes: known.Crashes + 1}
	return crash, t.raise(now, fingerprint, crash, true)
}

// Merge records the evidence of a peer. It reports whether a quarantine of the request
// began as a result.
func (t *Tracker) Merge(now time.Time, fingerprint Fingerprint, evidence Evidence) bool {
	return t.raise(now, fingerprint, evidence, false)
}

// Quarantine records that a peer has the request in quarantine, where that is all that
// the peer says. It changes nothing if the request has been cleared since its first
// crash.
func (t *Tracker) Quarantine(now time.Time, fingerprint Fingerprint) bool {
	return t.Merge(now, fingerprint, Evidence{Crashes: t.threshold()})
}

// Clear records that a run of the request ended without a crash. It reports whether
// that ended a quarantine.
func (t *Tracker) Clear(now time.Time, fingerprint Fingerprint) bool {
	s := t.lookup(now, fingerprint)
	if s == nil || s.evidence.Crashes == 0 {
		return false
	}
	ended := t.isQuarantined(s.evidence)
	t.raise(now, fingerprint, Evidence{Clearances: s.evidence.Clearances + 1}, true)
	return ended
}

// Quarantined returns the fingerprints of the requests that must not run, in ascending
// order.
func (t *Tracker) Quarantined(now time.Time) []Fingerprint {
	t.expire(now)
	var denied []Fingerprint
	for fingerprint, s := range t.quarantined {
		if t.refuses(now, s) {
			denied = append(denied, fingerprint)
		}
	}
	slices.Sort(denied)
	return denied
}

// Suspects returns the evidence that runs of this instance have given lately, to be
// sent to the peers. It has the requests that were cleared as well.
func (t *Tracker) Suspects(now time.Time) map[Fingerprint]Evidence {
	found := make(map[Fingerprint]Evidence)
	for _, records := range []map[Fingerprint]*suspect{t.suspects, t.quarantined} {
		for fingerprint, s := range records {
			if s.own && now.Sub(s.changed) < suspicionTTL {
				found[fingerprint] = s.evidence
			}
		}
	}
	return found
}

// threshold returns the length of a row of crashes that quarantines a request.
func (t *Tracker) threshold() int {
	if t.CrashThreshold == 0 {
		return defaultCrashThreshold
	}
	return t.CrashThreshold
}

// isQuarantined reports whether a row of crashes has reached the threshold.
func (t *Tracker) isQuarantined(evidence Evidence) bool { return evidence.Crashes >= t.threshold() }

// refuses reports whether a request must not run now.
func (t *Tracker) refuses(now time.Time, s *suspect) bool {
	return t.isQuarantined(s.evidence) && now.Sub(s.changed) < t.quarantineTime(s.evidence)
}

// quarantineTime returns how long a quarantined request is refused.
func (t *Tracker) quarantineTime(evidence Evidence) time.Duration {
	length := firstQuarantine
	for range evidence.Crashes - t.threshold() {
		if length *= quarantineGrowth; length >= maxQuarantine {
			return maxQuarantine
		}
	}
	return length
}

// raise sets the evidence of a request if it is higher than what is known. It reports
// whether a quarantine of the request began as a result.
func (t *Tracker) raise(now time.Time, fingerprint Fingerprint, evidence Evidence, own bool) bool {
	if evidence.Compare(t.Evidence(now, fingerprint)) <= 0 {
		return false
	}
	deniedBefore := t.Admit(now, fingerprint) == Denied
	t.expire(now)
	delete(t.suspects, fingerprint)
	delete(t.quarantined, fingerprint)
	s := &suspect{evidence: evidence, changed: now, own: own}
	if !t.isQuarantined(evidence) {
		t.suspects = insert(t.suspects, fingerprint, s)
		return false
	}
	t.quarantined = insert(t.quarantined, fingerprint, s)
	return !deniedBefore
}

// insert adds a record. If there is no room, it drops the one that changed first.
func insert(records map[Fingerprint]*suspect, fingerprint Fingerprint, s *suspect) map[Fingerprint]*suspect {
	if records == nil {
		records = make(map[Fingerprint]*suspect)
	}
	if len(records) >= maxFingerprints {
		dropOldest(records)
	}
	records[fingerprint] = s
	return records
}

// dropOldest removes the record that changed first.
func dropOldest(records map[Fingerprint]*suspect) {
	var oldest Fingerprint
	var oldestChange time.Time
	for fingerprint, s := range records {
		if oldestChange.IsZero() || s.changed.Before(oldestChange) {
			oldest, oldestChange = fingerprint, s.changed
		}
	}
	delete(records, oldest)
}

// lookup returns the record of a request, or nil if there is none or it has expired.
func (t *Tracker) lookup(now time.Time, fingerprint Fingerprint) *suspect {
	s := t.suspects[fingerprint]
	if s == nil {
		s = t.quarantined[fingerprint]
	}
	if s == nil || t.expired(now, s) {
		return nil
	}
	return s
}

// expired reports whether a record is too old to count.
func (t *Tracker) expired(now time.Time, s *suspect) bool {
	if t.isQuarantined(s.evidence) {
		return now.Sub(s.changed) >= quarantineTTL
	}
	return now.Sub(s.changed) >= suspicionTTL
}

// expire removes the records that have expired.
func (t *Tracker) expire(now time.Time) {
	expired := func(_ Fingerprint, s *suspect) bool { return t.expired(now, s) }
	maps.DeleteFunc(t.suspects, expired)
	maps.DeleteFunc(t.quarantined, expired)
}
