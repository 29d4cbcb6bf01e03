package runner

import (
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/messenger"
	"lagoonstile/quarantiner"
	"lagoonstile/relayer"
)

// nodeSuspects shares one quarantiner.Tracker between the goroutines that serve
// requests and the messenger.
type nodeSuspects struct {
	node *Node

	mu      sync.Mutex
	tracker quarantiner.Tracker
}

var _ relayer.Suspects = (*nodeSuspects)(nil)

// Admit returns whether and how a request may run.
func (s *nodeSuspects) Admit(fingerprint quarantiner.Fingerprint) quarantiner.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Admit(time.Now(), fingerprint)
}

// Evidence returns what is known of the request.
func (s *nodeSuspects) Evidence(fingerprint quarantiner.Fingerprint) quarantiner.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Evidence(time.Now(), fingerprint)
}

// RecordCrash records that a server crashed while the request was in flight to it,
// and sends the evidence to all members immediately.
func (s *nodeSuspects) RecordCrash(fingerprint quarantiner.Fingerprint, known quarantiner.Evidence) quarantiner.Evidence {
	s.mu.Lock()
	crash, quarantined := s.tracker.RecordCrash(time.Now(), fingerprint, known)
	s.mu.Unlock()
	if quarantined {
		s.node.log.Warn("request-quarantined", "print", fingerprint, "by", s.node.settings.Instance, "crashes", crash.Crashes)
	}
	s.node.messenger.BroadcastToAll()
	return crash
}

// Clear records that a server completed the request. If that ends a quarantine, it
// tells all members immediately.
func (s *nodeSuspects) Clear(fingerprint quarantiner.Fingerprint) {
	s.mu.Lock()
	ended := s.tracker.Clear(time.Now(), fingerprint)
	s.mu.Unlock()
	if ended {
		s.node.log.Warn("request-readmitted", "print", fingerprint, "by", s.node.settings.Instance)
		s.node.messenger.BroadcastToAll()
	}
}

// receive records the evidence in a peer's digest.
func (s *nodeSuspects) receive(from lagoonstile.InstanceID, digest messenger.Digest) {
	if len(digest.Crashes) == 0 && len(digest.Clearances) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for fingerprint, clearances := range digest.Clearances {
		s.merge(from, quarantiner.Fingerprint(fingerprint), quarantiner.Evidence{Clearances: clearances, Crashes: digest.Crashes[fingerprint]})
	}
	for fingerprint, crashes := range digest.Crashes {
		s.merge(from, quarantiner.Fingerprint(fingerprint), quarantiner.Evidence{Clearances: digest.Clearances[fingerprint], Crashes: crashes})
	}
}

// merge records a peer's evidence on one request. The caller must hold s.mu.
func (s *nodeSuspects) merge(from lagoonstile.InstanceID, fingerprint quarantiner.Fingerprint, evidence quarantiner.Evidence) {
	now := time.Now()
	before := s.tracker.Admit(now, fingerprint)
	quarantined := s.tracker.Merge(now, fingerprint, evidence)
	switch {
	case quarantined:
		s.node.log.Warn("request-quarantined", "print", fingerprint, "by", from, "crashes", evidence.Crashes)
	case before == quarantiner.Denied && s.tracker.Admit(now, fingerprint) != quarantiner.Denied:
		s.node.log.Warn("request-readmitted", "print", fingerprint, "by", from)
	}
}

// addTo adds the evidence of this node's own runs to a digest, on at most
// messenger.MaxFingerprints requests.
func (s *nodeSuspects) addTo(digest *messenger.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := 0
	for fingerprint, evidence := range s.tracker.Suspects(time.Now()) {
		if added == messenger.MaxFingerprints {
			return
		}
		added++
		set(&digest.Crashes, uint64(fingerprint), evidence.Crashes)
		set(&digest.Clearances, uint64(fingerprint), evidence.Clearances)
	}
}

// set adds a count to a map, which may be nil, unless it is 0.
func set(counts *map[uint64]int, fingerprint uint64, count int) {
	if count == 0 {
		return
	}
	if *counts == nil {
		*counts = make(map[uint64]int)
	}
	(*counts)[fingerprint] = count
}
