package relayer

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/listener"
	"lagoonstile/quarantiner"
	"lagoonstile/throttler"
)

// request is a client's request with its whole body.
type request struct {
	id      string
	route   *lagoonstile.PlannedRoute
	service lagoonstile.ServiceID
	// account is nil if the request has no known key.
	account *lagoonstile.Account
	// credit is what the request has drawn from the quota of its account.
	credit throttler.Credit
	// priority is that of the account or, if it has none, of the route.
	priority int
	arrived  time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	// fingerprint is the content hash under which crashes are counted.
	fingerprint quarantiner.Fingerprint

	method, uri, host string
	// header holds the end-to-end headers only.
	header http.Header
	// body holds the pieces of the body, which no attempt copies.
	body [][]byte
}

// readRequest reads a client's request with its body. It returns a Failure if the
// deadline header is invalid or the body cannot be read.
func (r *Relayer) readRequest(httpReq *http.Request, route *lagoonstile.PlannedRoute, account *lagoonstile.Account, arrived time.Time) (*request, *answerer.Failure) {
	timeout, err := requestTimeout(httpReq.Header.Get(r.Headers.Deadline), route.Timeout)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindBadDeadline, Cause: err}
	}
	body, err := listener.Pieces(httpReq)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindBadRequest, Cause: err}
	}
	req := &request{
		id:       httpReq.Header.Get(r.Headers.RequestID),
		route:    route,
		service:  r.chooseService(route),
		account:  account,
		priority: priorityOf(route, account),
		arrived:  arrived,
		deadline: arrived.Add(timeout),
		method:   httpReq.Method,
		uri:      httpReq.URL.RequestURI(),
		host:     httpReq.Host,
		header:   r.forwardedHeader(httpReq, account),
		body:     body,
	}
	req.fingerprint = fingerprintOf(req)
	return req, nil
}

// requestTimeout returns how long a request may take: the number of milliseconds
// in the deadline header, but at most limit. An empty header means limit.
func requestTimeout(header string, limit time.Duration) (time.Duration, error) {
	if header == "" {
		return limit, nil
	}
	ms, err := strconv.ParseFloat(header, 64)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("deadline %q is not a positive number of milliseconds", header)
	}
	// A value above the limit is not converted: it may overflow time.Duration.
	if ms >= float64(limit.Milliseconds()) {
		return limit, nil
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// fingerprintOf returns a hash of the request's method, host, URI and body. It does
// not depend on the client or on any header but Host.
func fingerprintOf(req *request) quarantiner.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{req.method, req.host, req.uri} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	for _, piece := range req.body {
		_, _ = hash.Write(piece)
	}
	return quarantiner.Fingerprint(hash.Sum64())
}
