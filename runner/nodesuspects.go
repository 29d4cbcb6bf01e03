package runner

import (
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/messenger"
	"lagoonstile/quarantiner"
	"lagoonstile/relayer"
)

// nodeSuspects shares one keeper between a node's requests and its messenger.
type nodeSuspects struct {
	node *Node

	mu     sync.Mutex
	keeper quarantiner.Tracker
}

var _ relayer.Suspects = (*nodeSuspects)(nil)

// Admit says whether a request may run.
func (s *nodeSuspects) Admit(print quarantiner.Fingerprint) quarantiner.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Admit(time.Now(), print)
}

// Crashed notes that a server broke off while it had the request.
func (s *nodeSuspects) Crashed(print quarantiner.Fingerprint) {
	s.mu.Lock()
	quarantined := s.keeper.RecordCrash(time.Now(), print)
	s.mu.Unlock()
	if quarantined {
		s.node.log.Warn("request-quarantined", "print", print, "by", "own crashes")
	}
	s.node.messenger.Broadcast(nil)
}

// Cleared notes that the request ended well.
func (s *nodeSuspects) Cleared(print quarantiner.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Clear(time.Now(), print)
}

// hear takes in what a peer says of requests.
func (s *nodeSuspects) hear(from lagoonstile.InstanceID, digest messenger.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for print, crashes := range digest.Crashes {
		if s.keeper.RecordPeerCrashes(time.Now(), from, quarantiner.Fingerprint(print), crashes) {
			s.node.log.Warn("request-quarantined", "print", print, "by", from)
		}
	}
}

// tell returns this node's own crash counts, or nil.
func (s *nodeSuspects) tell() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[uint64]int
	for print, crashes := range s.keeper.Suspects(time.Now()) {
		if out == nil {
			out = make(map[uint64]int)
		}
		if len(out) < messenger.MaxFingerprints {
			out[uint64(print)] = crashes
		}
	}
	return out
}
