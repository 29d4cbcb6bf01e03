package relayer

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/quarantiner"
)

// request is a client's request, held in full.
type request struct {
	id      string
	route   *lagoonstile.PlannedRoute
	service lagoonstile.ServiceID
	arrived time.Time
	// deadline is when the client or the route's rules stop waiting, whichever
	// is first.
	deadline time.Time
	print    quarantiner.Print

	method, uri, host string
	// header holds end-to-end headers only.
	header http.Header
	body   []byte
}

// request takes a client's request apart.
func (r *Relayer) request(httpReq *http.Request, route *lagoonstile.PlannedRoute, arrived time.Time) (*request, *answerer.Failure) {
	wait, err := waitOf(httpReq.Header.Get(r.Headers.Deadline), route.Timeout)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindBadDeadline, Cause: err}
	}
	// The body's buffers go back to nbhttp when the handler returns, and a send
	// may end later than that: the body is copied.
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindBadRequest, Cause: err}
	}
	req := &request{
		id:       httpReq.Header.Get(r.Headers.RequestID),
		route:    route,
		service:  r.split(route),
		arrived:  arrived,
		deadline: arrived.Add(wait),
		method:   httpReq.Method,
		uri:      httpReq.URL.RequestURI(),
		host:     httpReq.Host,
		header:   exchanger.EndToEnd(httpReq.Header),
		body:     body,
	}
	req.print = printOf(req)
	return req, nil
}

// waitOf returns how long a request may take: what the client says, and at most
// what the route allows.
func waitOf(text string, most time.Duration) (time.Duration, error) {
	if text == "" {
		return most, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("deadline %q is not a number of milliseconds over 0", text)
	}
	// A client's wait over the most may not even fit a duration.
	if ms >= float64(most.Milliseconds()) {
		return most, nil
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// printOf tells requests apart by what they ask for, whoever asks.
func printOf(req *request) quarantiner.Print {
	digest := xxhash.New()
	for _, part := range []string{req.method, req.host, req.uri} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.body)
	return quarantiner.Print(digest.Sum64())
}
