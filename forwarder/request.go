package forwarder

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/authenticator"
	"lagoonstile/exchanger"
	"lagoonstile/listener"
	"lagoonstile/quarantiner"
	"lagoonstile/router"
	"lagoonstile/throttler"
)

// Request is a caller's request. It is held in full and does not depend on the
// caller's connection.
type Request struct {
	ID     string
	Entry  *router.Entry
	Rank   lagoonstile.Rank
	Caller lagoonstile.CallerID
	// account is nil if the request has no known key, and credit is what it drew from
	// the account's quota.
	account *lagoonstile.Account
	credit  throttler.Credit
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Idempotent is false for requests that must not run twice.
	Idempotent bool
	// Key is the idempotency key. It is set for every request that is not
	// idempotent.
	Key string

	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Header holds end-to-end headers only.
	Header http.Header
	Body   []byte
}

// Fingerprint returns a fingerprint of the service, method, URI and body. Requests
// of different callers with the same content have the same fingerprint.
func (r *Request) Fingerprint() quarantiner.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{string(r.serviceID()), r.Method, r.URI} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return quarantiner.Fingerprint(hash.Sum64())
}

// serviceID returns the ID of the request's service, or "" if it has none.
func (r *Request) serviceID() lagoonstile.ServiceID {
	if r.Entry == nil {
		return ""
	}
	return r.Entry.Service.ID
}

// newRequest reads an HTTP request. Its rank and whether it is idempotent follow
// from the configuration of the service. A caller can declare a request to an
// idempotent service as not idempotent, but not the reverse. If newRequest fails,
// the request that it returns has only the fields that were set before the failure.
func newRequest(id string, httpReq *http.Request, table *router.Table, now time.Time) (*Request, *answerer.Failure) {
	req := &Request{
		ID:     id,
		Method: httpReq.Method,
		URI:    httpReq.URL.RequestURI(),
		Host:   httpReq.Host,
	}
	match, ok := matchService(httpReq, table)
	if !ok {
		return req, &answerer.Failure{Kind: answerer.KindUnknownService}
	}
	req.Entry = match.Entry
	req.Rank = match.Rank
	if failure := req.authenticate(httpReq, table.Accounts()); failure != nil {
		return req, failure
	}
	req.Idempotent = match.Entry.Service.Idempotent && httpReq.Header.Get(lagoonstile.HeaderIdempotent) != "no"
	timeout, err := timeoutOf(httpReq, match.Entry.Service.Deadline)
	if err != nil {
		return req, &answerer.Failure{Kind: answerer.KindBadDeadline, Cause: err}
	}
	req.Deadline = now.Add(timeout)
	if failure := req.readKey(httpReq); failure != nil {
		return req, failure
	}
	body, err := listener.Bytes(httpReq)
	var failure *answerer.Failure
	switch {
	case errors.As(err, &failure):
		return req, failure
	case err != nil:
		return req, &answerer.Failure{Kind: answerer.KindBadRequest, Cause: err}
	}
	req.Body = body
	req.Header = req.forwardedHeader(httpReq)
	return req, nil
}

// forwardedHeader returns the headers of the request that servers get. Those that the
// instance sets come last, since a caller can declare any header as one of its connection.
func (r *Request) forwardedHeader(httpReq *http.Request) http.Header {
	header := exchanger.EndToEnd(httpReq.Header)
	if r.account != nil {
		header.Set(lagoonstile.HeaderCaller, string(r.account.ID))
	}
	if host, _, err := net.SplitHostPort(httpReq.RemoteAddr); err == nil {
		header.Add(headerForwardedFor, host)
	}
	return header
}

// readKey sets the key of a request that is not idempotent.
func (r *Request) readKey(httpReq *http.Request) *answerer.Failure {
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

// matchService finds the service of a request by the service header if it is set,
// and otherwise by host and path.
func matchService(httpReq *http.Request, table *router.Table) (router.Match, bool) {
	if name := httpReq.Header.Get(lagoonstile.HeaderService); name != "" {
		return table.Service(lagoonstile.ServiceID(name), httpReq.URL.EscapedPath())
	}
	return table.Route(httpReq.Host, httpReq.URL.EscapedPath())
}

// headerForwardedFor is the header that the address of the caller is added to.
const headerForwardedFor = "X-Forwarded-For"

// maxTimeout limits how long a request may occupy capacity.
const maxTimeout = time.Hour

// timeoutOf returns the time that the caller waits for an answer: the value of
// the deadline header, at most maxTimeout, or the default of the service if the
// header is not set.
func timeoutOf(httpReq *http.Request, serviceDefault time.Duration) (time.Duration, error) {
	text := httpReq.Header.Get(lagoonstile.HeaderDeadline)
	if text == "" {
		return serviceDefault, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("header %s: %q is not a positive integer", lagoonstile.HeaderDeadline, text)
	}
	return min(time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond, maxTimeout), nil
}

// authenticate sets the client account of a request. If the configuration has
// accounts, the request's key decides. The key is removed, and so is the caller header
// that the client sent. The rank of an account takes precedence over that of the service.
func (r *Request) authenticate(httpReq *http.Request, accounts *authenticator.Accounts) *answerer.Failure {
	keys := httpReq.Header.Values(lagoonstile.HeaderCallerKey)
	httpReq.Header.Del(lagoonstile.HeaderCallerKey)
	if !accounts.Required() {
		r.Caller = callerOf(httpReq)
		return nil
	}
	account := accounts.Lookup(keys)
	httpReq.Header.Del(lagoonstile.HeaderCaller)
	if account == nil {
		if !r.Entry.Service.Public {
			return &answerer.Failure{Kind: answerer.KindUnknownKey}
		}
		r.Caller = callerOf(httpReq)
		return nil
	}
	r.Caller = account.ID
	r.account = account
	if account.Priority != nil {
		r.Rank = lagoonstile.RankOfPriority(*account.Priority)
	}
	return nil
}

// callerOf returns the client account that fair queueing applies to: the value of
// the caller header, or the IP address of the client if the header is not set.
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

// asFailure returns the Failure in err's chain, or one of kind KindInternal if
// there is none.
func asFailure(err error) *answerer.Failure {
	var failure *answerer.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &answerer.Failure{Kind: answerer.KindInternal, MayHaveRun: true, Cause: err}
}
