package runner

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"lagoonstile/auditor"
	"lagoonstile/controller"
	"lagoonstile/forwarder"
	"lagoonstile/gossiper"
	"lagoonstile/quarantiner"
)

// instanceSuspects shares one quarantiner.Tracker between the goroutines that serve
// requests and the gossip with peers.
type instanceSuspects struct {
	instance *Instance

	mu      sync.Mutex
	tracker quarantiner.Tracker
}

var _ forwarder.Suspects = (*instanceSuspects)(nil)

// Admit returns whether and how a request may run.
func (s *instanceSuspects) Admit(fingerprint quarantiner.Fingerprint) quarantiner.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Admit(time.Now(), fingerprint)
}

// Evidence returns what is known of the request.
func (s *instanceSuspects) Evidence(fingerprint quarantiner.Fingerprint) quarantiner.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Evidence(time.Now(), fingerprint)
}

// RecordCrash records that a server crashed while the request was in flight to it.
// If this quarantines the request, it adds an event to the audit trail.
func (s *instanceSuspects) RecordCrash(fingerprint quarantiner.Fingerprint, known quarantiner.Evidence) {
	s.mu.Lock()
	_, quarantined := s.tracker.RecordCrash(time.Now(), fingerprint, known)
	s.mu.Unlock()
	if quarantined {
		s.audit(fingerprint, "after crashes seen here")
	}
}

// Clear records that a server answered a suspect that ran in isolation.
func (s *instanceSuspects) Clear(fingerprint quarantiner.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Clear(time.Now(), fingerprint)
}

// receive records the crashes and quarantined requests in a peer's digest.
func (s *instanceSuspects) receive(digest gossiper.Digest) {
	now := time.Now()
	var quarantined []quarantiner.Fingerprint
	s.mu.Lock()
	for _, fingerprint := range digest.Quarantined {
		s.tracker.Quarantine(now, quarantiner.Fingerprint(fingerprint))
	}
	for _, crash := range digest.Crashes {
		fingerprint := quarantiner.Fingerprint(crash.Fingerprint)
		evidence := quarantiner.Evidence{Clearances: int(crash.Clearances), Crashes: int(crash.Count)}
		if s.tracker.Merge(now, fingerprint, evidence) {
			quarantined = append(quarantined, fingerprint)
		}
	}
	s.mu.Unlock()
	for _, fingerprint := range quarantined {
		s.audit(fingerprint, "after crashes seen by peers")
	}
}

// report returns the quarantined requests and the evidence of this instance's runs, for
// the digest. Both are sorted by fingerprint.
func (s *instanceSuspects) report(now time.Time) ([]uint64, []gossiper.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []gossiper.Crash
	for fingerprint, evidence := range s.tracker.Suspects(now) {
		crashes = append(crashes, gossiper.Crash{
			Fingerprint: uint64(fingerprint), Count: uint32(evidence.Crashes), Clearances: uint32(evidence.Clearances),
		})
	}
	slices.SortFunc(crashes, func(a, b gossiper.Crash) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return fingerprintValues(s.tracker.Quarantined(now)), crashes
}

// QuarantinedCount returns the number of quarantined requests.
func (i *Instance) QuarantinedCount() int {
	i.suspects.mu.Lock()
	defer i.suspects.mu.Unlock()
	return len(i.suspects.tracker.Quarantined(time.Now()))
}

// audit adds an event for the quarantine of a request to the audit trail.
func (s *instanceSuspects) audit(fingerprint quarantiner.Fingerprint, detail string) {
	s.instance.control.send(func(now time.Time, state *controller.State) {
		state.AuditQueue().Add(auditor.Event{
			At: now, Instance: s.instance.self.Instance, Kind: auditor.KindQuarantined,
			Version: state.Version(), Detail: fmt.Sprintf("request print=%016x %s", uint64(fingerprint), detail),
		})
	})
}
