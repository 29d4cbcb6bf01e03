package emulator

import (
	"net/http"
	"strings"
	"time"

	"lagoonstile/listener"
)

// Platform serves a log and an instance list on one address.
type Platform struct {
	Log       *Log
	Instances *Instances
	listener  *listener.Listener
}

// platformLimits let a snapshot of a large inventory through.
var platformLimits = listener.Limits{RequestBytes: 64 << 20, Headers: 100, Idle: time.Minute, Stall: time.Minute}

// StartPlatform starts a platform on an IP:port.
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

// URL returns the base URL of both services.
func (p *Platform) URL() string { return "http://" + p.listener.Address() }

// Stop ends the platform's services.
func (p *Platform) Stop() { p.listener.Close() }
