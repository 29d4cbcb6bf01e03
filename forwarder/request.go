package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/quarantiner"
	"lagoonstile/router"
)

// Request is a caller's request, held in full and independent of the
// connection that it came on.
type Request struct {
	ID     string
	Entry  *router.Entry
	Rank   lagoonstile.Rank
	Caller lagoonstile.CallerID
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Idempotent is false for requests that must not run twice.
	Idempotent bool
	// Key is set for every request that is not idempotent.
	Key string

	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Header holds end-to-end headers only.
	Header http.Header
	Body   []byte
}

// Print tells requests apart by what they ask for, whoever asks.
func (r *Request) Print() quarantiner.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(r.serviceID()), r.Method, r.URI} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return quarantiner.Fingerprint(digest.Sum64())
}

// serviceID returns the id of the request's service, or "" when it has none.
func (r *Request) serviceID() lagoonstile.ServiceID {
	if r.Entry == nil {
		return ""
	}
	return r.Entry.Service.ID
}

// newRequest takes an HTTP request apart. Rank and idempotency come from the
// service's rules; a caller may only ask for more care.
func newRequest(id string, httpReq *http.Request, table *router.Table, now time.Time) (*Request, *answerer.Failure) {
	req := &Request{
		ID:     id,
		Caller: callerOf(httpReq),
		Method: httpReq.Method,
		URI:    httpReq.URL.RequestURI(),
		Host:   httpReq.Host,
	}
	match, ok := resolve(httpReq, table)
	if !ok {
		return req, &answerer.Failure{Kind: answerer.KindUnknownService}
	}
	req.Entry = match.Entry
	req.Rank = match.Rank
	req.Idempotent = match.Entry.Service.Idempotent && httpReq.Header.Get(lagoonstile.HeaderIdempotent) != "no"
	deadline, err := deadlineOf(httpReq, match.Entry.Service.Deadline)
	if err != nil {
		return req, &answerer.Failure{Kind: answerer.KindBadDeadline, Cause: err}
	}
	req.Deadline = now.Add(deadline)
	if failure := req.takeKey(httpReq); failure != nil {
		return req, failure
	}
	// The body's buffers go back to nbhttp when the handler returns, so it is
	// copied: a request may outlive its connection.
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return req, &answerer.Failure{Kind: answerer.KindBadRequest, Cause: err}
	}
	req.Body = body
	req.Header = exchanger.EndToEnd(httpReq.Header)
	if host, _, err := net.SplitHostPort(httpReq.RemoteAddr); err == nil {
		req.Header.Add(headerForwarded, host)
	}
	return req, nil
}

func (r *Request) takeKey(httpReq *http.Request) *answerer.Failure {
	if r.Idempotent {
		return nil
	}
	r.Key = httpReq.Header.Get(lagoonstile.HeaderKey)
	if r.Key == "" {
		return &answerer.Failure{Kind: answerer.KindKeyMissing}
	}
	if _, _, err := lagoonstile.SplitKey(r.Key); err != nil {
		return &answerer.Failure{Kind: answerer.KindKeyMalformed, Cause: err}
	}
	return nil
}

func resolve(httpReq *http.Request, table *router.Table) (router.Match, bool) {
	if name := httpReq.Header.Get(lagoonstile.HeaderService); name != "" {
		return table.Service(lagoonstile.ServiceID(name), httpReq.URL.Path)
	}
	return table.Route(httpReq.Host, httpReq.URL.Path)
}

// headerForwarded tells servers the addresses that a request came through.
const headerForwarded = "X-Forwarded-For"

// maxDeadline bounds how long a request may keep its place.
const maxDeadline = time.Hour

func deadlineOf(httpReq *http.Request, rule time.Duration) (time.Duration, error) {
	text := httpReq.Header.Get(lagoonstile.HeaderDeadline)
	if text == "" {
		return rule, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("header %s: %q is not a whole number over 0", lagoonstile.HeaderDeadline, text)
	}
	return min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline), nil
}

// callerOf names the account to be fair to: what the caller says, or else its
// address.
func callerOf(httpReq *http.Request) lagoonstile.CallerID {
	if name := httpReq.Header.Get(lagoonstile.HeaderCaller); name != "" {
		return lagoonstile.CallerID(name)
	}
	host, _, err := net.SplitHostPort(httpReq.RemoteAddr)
	if err != nil {
		return lagoonstile.CallerID(httpReq.RemoteAddr)
	}
	return lagoonstile.CallerID(host)
}

func newRequestID() string { return uuid.NewString() }

// asFailure returns the Failure in err's chain, or an internal one.
func asFailure(err error) *answerer.Failure {
	var failure *answerer.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &answerer.Failure{Kind: answerer.KindInternal, MayHaveRun: true, Cause: err}
}
