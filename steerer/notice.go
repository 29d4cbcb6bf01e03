package steerer

import (
	"time"

	"lagoonstile/gossiper"
)

// Notice is what a server says of itself in a response. It holds for the run of the
// server that it names. The zero value says nothing.
type Notice struct {
	// Leaving is set if the server wants no more requests, because it will end.
	Leaving bool
	// RetryAfter is how long the server wants no request from this instance.
	RetryAfter time.Duration
}

// noticeRetention is how long a notice is kept for a server that is not registered,
// because its entry may come back.
const noticeRetention = 10 * time.Minute

// keptNotice is what the notices of a run of a server add up to.
type keptNotice struct {
	leaving bool
	// retryAt is the time before which the server wants no request.
	retryAt time.Time
	// at is the time of the last notice.
	at time.Time
}

// Heed makes the service act on a notice in a response of a server. It must be called
// before Settle, which may grant the server to other tickets.
func (s *Service) Heed(now time.Time, server *Server, notice Notice) {
	if notice == (Notice{}) {
		return
	}
	if s.notices == nil {
		s.notices = make(map[gossiper.Key]keptNotice)
	}
	kept := s.notices[server.Key]
	kept.leaving = kept.leaving || notice.Leaving
	if retryAt := now.Add(notice.RetryAfter); retryAt.After(kept.retryAt) {
		kept.retryAt = retryAt
	}
	kept.at = now
	s.notices[server.Key] = kept
	server.heed(kept)
	server.lastChange = now
}

// heed applies the notices of a server.
func (server *Server) heed(notices keptNotice) {
	server.leaving = notices.leaving
	server.pause(notices.retryAt)
}

// nextUsable returns when the first server can be used again, if no new one is
// registered. It returns false if there is none that ever can.
func (s *Service) nextUsable() (time.Time, bool) {
	var next time.Time
	found := false
	for _, server := range s.order {
		if server.entry.Draining || server.leaving {
			continue
		}
		if !found || server.pausedUntil.Before(next) {
			next, found = server.pausedUntil, true
		}
	}
	return next, found
}

// forgetNotices drops the notices of servers that have not been registered for
// noticeRetention.
func (s *Service) forgetNotices(now time.Time) {
	for key, kept := range s.notices {
		if s.byKey[key] == nil && now.Sub(kept.at) > noticeRetention {
			delete(s.notices, key)
		}
	}
}
