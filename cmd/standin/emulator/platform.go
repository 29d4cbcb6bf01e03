package emulator

import (
	"net/http"
	"strings"
	"time"

	"lagoonstile/listener"
)

// Platform serves a Log and an Instances list on one address.
type Platform struct {
	Log       *Log
	Instances *Instances
	listener  *listener.Listener
}

// platformLimits allows request bodies as large as the snapshot of a large
// inventory.
var platformLimits = listener.Limits{MaxRequestBytes: 64 << 20, MaxHeaders: 100, IdleTimeout: time.Minute, StallTimeout: time.Minute}

// StartPlatform starts a platform that listens on address, an IP:port. The log
// reports the given retention time, and changes to the instance list become
// visible after lag.
func StartPlatform(address string, retention, lag time.Duration) (*Platform, error) {
	p := &Platform{Log: NewLog(retention), Instances: &Instances{Lag: lag}}
	l, err := listener.Listen(address, platformLimits, http.HandlerFunc(p.serve))
	if err != nil {
		return nil, err
	}
	p.listener = l
	return p, nil
}

func (p *Platform) serve(w http.ResponseWriter, req *http.Request) {
	switch {
	case strings.HasPrefix(req.URL.Path, "/log/"):
		p.Log.ServeHTTP(w, req)
	case req.URL.Path == "/instances":
		p.Instances.ServeHTTP(w, req)
	default:
		http.NotFound(w, req)
	}
}

// URL returns the base URL of the log service and the instance list.
func (p *Platform) URL() string { return "http://" + p.listener.Address() }

// Stop stops the platform's services.
func (p *Platform) Stop() { p.listener.Close() }
