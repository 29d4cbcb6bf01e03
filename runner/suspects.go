package runner

import (
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

// suspects shares one keeper between traffic goroutines and gossip.
type suspects struct {
	instance *Instance

	mu     sync.Mutex
	keeper quarantiner.Tracker
}

var _ forwarder.Suspects = (*suspects)(nil)

// Admit says how a request may run.
func (s *suspects) Admit(print quarantiner.Fingerprint) quarantiner.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Admit(time.Now(), print)
}

// Crashed notes a crash and tells the audit trail of a quarantine.
func (s *suspects) Crashed(print quarantiner.Fingerprint) {
	s.mu.Lock()
	quarantined := s.keeper.RecordCrash(time.Now(), print)
	s.mu.Unlock()
	if quarantined {
		s.audit(print, "after crashes seen here")
	}
}

// Cleared notes that a suspect ended well alone.
func (s *suspects) Cleared(print quarantiner.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Clear(time.Now(), print)
}

// hear takes in what a peer says of suspects.
func (s *suspects) hear(digest gossiper.Digest) {
	now := time.Now()
	var news []quarantiner.Fingerprint
	s.mu.Lock()
	for _, print := range digest.Quarantined {
		s.keeper.Quarantine(now, quarantiner.Fingerprint(print))
	}
	for _, crash := range digest.Crashes {
		print := quarantiner.Fingerprint(crash.Fingerprint)
		if s.keeper.RecordPeerCrashes(now, digest.Origin, print, int(crash.Count)) {
			news = append(news, print)
		}
	}
	s.mu.Unlock()
	for _, print := range news {
		s.audit(print, "after crashes seen by peers")
	}
}

// tell returns what peers should know.
func (s *suspects) tell(now time.Time) ([]uint64, []gossiper.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []gossiper.Crash
	for print, count := range s.keeper.Suspects(now) {
		crashes = append(crashes, gossiper.Crash{Fingerprint: uint64(print), Count: uint32(count)})
	}
	slices.SortFunc(crashes, func(a, b gossiper.Crash) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return printsOf(s.keeper.Quarantined(now)), crashes
}

// Quarantined returns how many requests this instance does not run.
func (i *Instance) Quarantined() int {
	i.suspects.mu.Lock()
	defer i.suspects.mu.Unlock()
	return len(i.suspects.keeper.Quarantined(time.Now()))
}

func (s *suspects) audit(print quarantiner.Fingerprint, detail string) {
	s.instance.control.send(func(now time.Time, state *controller.State) {
		state.AuditQueue().Add(auditor.Event{
			At: now, Instance: s.instance.self.Instance, Kind: auditor.KindQuarantined,
			Version: state.Version(), Detail: fmt.Sprintf("request print=%016x %s", uint64(print), detail),
		})
	})
}
