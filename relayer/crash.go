package relayer

import (
	"net"
	"time"

	"lagoonstile/logger"
	"lagoonstile/quarantiner"
	"lagoonstile/steerer"
)

// Whether a server crashed during an attempt, and what that says of the request.

// suspicion is what one attempt says of its request if its server crashes.
type suspicion struct {
	// known is the evidence that was known when the attempt began.
	known quarantiner.Evidence
	// earlier holds the suspicions of the attempts of the same request that had ended
	// without a response by then. They may not have been checked yet.
	earlier []*suspicion
	// checked is closed when it is known whether the server crashed. It is nil if the
	// attempt did not end in a way that looks like a crash.
	checked chan struct{}
	// crash is the evidence of the crash, or zero if there was none. It is set when
	// checked is closed.
	crash quarantiner.Evidence
}

// suspicionOf returns the suspicion of an attempt that begins now, or nil if suspects
// are not tracked.
func (r *Relayer) suspicionOf(req *request, earlier []*suspicion) *suspicion {
	if r.Suspects == nil {
		return nil
	}
	return &suspicion{known: r.Suspects.Evidence(req.fingerprint), earlier: earlier}
}

// Timing of the connection attempt that checks whether a server crashed.
const (
	crashProbeDelay   = 20 * time.Millisecond
	crashProbeTimeout = 300 * time.Millisecond
)

// confirmCrash records a crash against the request if a new connection to the
// server fails. A server that still accepts connections has only closed the
// previous one and has not crashed.
func (r *Relayer) confirmCrash(req *request, server *steerer.Server, about *suspicion) {
	defer close(about.checked)
	time.Sleep(crashProbeDelay)
	conn, err := net.DialTimeout("tcp", server.Backend.Address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	known := about.knownAtStart()
	about.crash = r.Suspects.RecordCrash(req.fingerprint, known)
	r.Log.Info("server-crashed", logger.RequestKey, req.id, "service", req.service, "server", server.Backend.ID,
		"print", req.fingerprint, "cleared", known.Clearances, "crashes-before", known.Crashes)
}

// knownAtStart returns the evidence that the attempt began with. The attempts before
// it count, although their crashes are confirmed only after a retry has begun.
func (s *suspicion) knownAtStart() quarantiner.Evidence {
	known := s.known
	for _, before := range s.earlier {
		<-before.checked
		if before.crash.Compare(known) > 0 {
			known = before.crash
		}
	}
	return known
}
