// Package caller is a client of a lagoonstile fleet. Services that call other
// services through a fleet embed it.
//
// A Caller asks the fleet for an entry answer: the addresses to use for a
// service, and the prefix of the idempotency keys of orders. The prefix identifies
// the home of an order, which is the only process that may dispatch it. The Caller
// caches the entry answer for as long as it is valid, and tries the next address
// if one fails.
//
// An order is a request that must not run twice. All resends of an order carry
// the same idempotency key, so that the order runs at most once whatever fails.
// The Caller makes a new key only if no byte of the order was sent, or after the
// home answered that the order did not run and never will under that key. If the
// outcome is unknown, the Caller does not repeat the order under a new key: it
// returns ErrUnknown and the key, and the calling service decides what to do.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/inspector"
	"lagoonstile/locator"
)

// Errors that Caller.Do and Caller.Order wrap.
var (
	// ErrUnknown means that the order may have run. Find out whether it did
	// before making it again.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNotRun means that the request did not run.
	ErrNotRun = errors.New("not run")
	// ErrAlreadyRan means that the order ran and that its answer is no longer
	// stored.
	ErrAlreadyRan = errors.New("already ran")
	// ErrFleetUnavailable means that no address of the fleet gave an entry
	// answer.
	ErrFleetUnavailable = errors.New("no address of the fleet gave an entry answer")
)

// errNotSent is wrapped by errors that occurred before any byte of a request was
// sent.
var errNotSent = errors.New("not sent")

// Timeouts and delays.
const (
	// entryTimeout bounds one request for an entry answer.
	entryTimeout = 2 * time.Second
	// firstByteTimeout is how long Do waits for the first byte of an answer
	// before it tries the next address. Orders have no such limit.
	firstByteTimeout = 2 * time.Second
	// baseBackoff is the mean delay after the first failed attempt. The mean
	// delay doubles after each attempt, up to maxBackoff.
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = time.Second
	// defaultTimeout applies if the context has no deadline.
	defaultTimeout = 30 * time.Second
)

// Caller calls services through one fleet. Seeds must be set. A Caller is safe
// for concurrent use.
type Caller struct {
	// Seeds holds addresses of instances, as IP:port. They are asked for the
	// first entry answer, and again if no address of the latest entry answer
	// gives a new one.
	Seeds []string
	// Account is the client account that requests are counted against when the
	// fleet shares its capacity fairly. If it is empty, the fleet uses the IP
	// address of the client.
	Account string
	// Key is the key of the client account, for fleets whose rules have accounts.
	Key string
	// Client sends the HTTP requests; nil means http.DefaultClient. It must not be changed
	// after the first request. Answers are checked as package inspector says, so malformed
	// ones are errors, if its transport is nil or a *http.Transport.
	Client *http.Client

	checked inspector.Client
	mu      sync.Mutex
	entries map[lagoonstile.ServiceID]*cachedEntry
}

// cachedEntry is an entry answer and the time at which it expires. It is never
// modified.
type cachedEntry struct {
	answer  locator.Answer
	expires time.Time
}

// Request is a request to a service.
type Request struct {
	Service lagoonstile.ServiceID
	Method  string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a complete HTTP response, of a server or of an instance.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key of an order, and Sends is how many times the
	// order was sent with that key. Do does not set them.
	Key   string
	Sends int
}

// Do sends a request that may run more than once. It tries one address after
// another until one gives a complete answer or the context ends. It also retries
// if an instance answers with status 503 that the request did not run. A context
// without a deadline gets one of 30 seconds.
func (c *Caller) Do(ctx context.Context, req Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var lastErr error
	for attempt := 0; ; attempt++ {
		entry, err := c.entry(ctx, req.Service)
		if err == nil {
			address := entry.answer.Addresses[attempt%len(entry.answer.Addresses)].Address
			answer, sendErr := c.send(ctx, address, req, "")
			if sendErr == nil && !isRetryable(answer) {
				return answer, nil
			}
			err = sendErr
			if err == nil {
				err = answerError(answer)
			} else {
				c.expireEntry(req.Service)
			}
		}
		lastErr = err
		if !backOff(ctx, attempt) {
			return nil, fmt.Errorf("%s %s of %s: %w", req.Method, req.Path, req.Service, lastErr)
		}
	}
}

// isRetryable reports whether the answer is a 503 from an instance that says that
// the request did not run.
func isRetryable(answer *Answer) bool {
	return answer.Status == http.StatusServiceUnavailable && answer.Header.Get(answerer.HeaderOutcome) == string(answerer.OutcomeNotRun)
}

// Order sends a request that must not run twice. It makes a new key and tries
// again if the order did not run and another home may accept it. The error wraps
// ErrNotRun, ErrAlreadyRan or ErrUnknown. The answer that is returned with an error
// has the latest key of the order, or is nil if the order was never sent with that
// key. A context without a deadline gets one of 30 seconds.
func (c *Caller) Order(ctx context.Context, req Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for attempt := 0; ; attempt++ {
		answer, err := c.sendOrder(ctx, req)
		if err == nil || !errors.Is(err, ErrNotRun) || !mayTryNewKey(answer) {
			return answer, err
		}
		// The order never runs under this key, so sending it under a new key
		// cannot make it run twice.
		c.expireEntry(req.Service)
		if !backOff(ctx, attempt) {
			return answer, err
		}
	}
}

// mayTryNewKey reports whether another home may accept an order that did not
// run. A nil answer means that the order was not sent.
func mayTryNewKey(answer *Answer) bool {
	return answer == nil || answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusGatewayTimeout
}

// sendOrder makes a key and sends the order with it until there is a complete
// answer or the context ends. The answer is nil if there was no entry answer or
// the first send could not connect.
func (c *Caller) sendOrder(ctx context.Context, req Request) (*Answer, error) {
	entry, err := c.entry(ctx, req.Service)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	key := entry.answer.Home + "." + uuid.NewString()
	var lastErr error
	for attempt := 0; ; attempt++ {
		address := entry.answer.Addresses[attempt%len(entry.answer.Addresses)].Address
		answer, err := c.send(ctx, address, req, key)
		if err == nil {
			answer.Key = key
			answer.Sends = attempt + 1
			return answer, outcomeError(answer)
		}
		if attempt == 0 && errors.Is(err, errNotSent) {
			// No instance has received the key, so it can be discarded. The
			// first address is that of the home, which may be down; the other
			// addresses could only pass the order on to it.
			return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
		}
		lastErr = err
		if !backOff(ctx, attempt) {
			return &Answer{Key: key, Sends: attempt + 1}, fmt.Errorf("order %s: %w: %w", key, ErrUnknown, lastErr)
		}
	}
}

// outcomeError returns the error for an answer that an instance gave instead of a
// server, and nil for an answer of a server.
func outcomeError(answer *Answer) error {
	kind := answer.Header.Get(answerer.HeaderKind)
	switch answerer.Outcome(answer.Header.Get(answerer.HeaderOutcome)) {
	case "":
		return nil
	case answerer.OutcomeNotRun:
		return fmt.Errorf("%w: %s", ErrNotRun, kind)
	case answerer.OutcomeRan:
		return fmt.Errorf("%w: %s", ErrAlreadyRan, kind)
	}
	return fmt.Errorf("%w: %s", ErrUnknown, kind)
}

// answerError returns the error for an answer that isRetryable accepts.
func answerError(answer *Answer) error {
	if err := outcomeError(answer); err != nil {
		return err
	}
	return fmt.Errorf("status %d", answer.Status)
}

// send sends a request to one address and reads the complete answer. If key is
// empty, the request may run more than once and firstByteTimeout applies. The
// error wraps errNotSent if no connection was made.
func (c *Caller) send(ctx context.Context, address string, req Request, key string) (*Answer, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range req.Header {
		httpReq.Header[name] = values
	}
	httpReq.Header.Set(lagoonstile.HeaderService, string(req.Service))
	if c.Account != "" {
		httpReq.Header.Set(lagoonstile.HeaderCaller, c.Account)
	}
	if c.Key != "" {
		httpReq.Header.Set(lagoonstile.HeaderCallerKey, c.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		httpReq.Header.Set(lagoonstile.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	if key != "" {
		httpReq.Header.Set(lagoonstile.HeaderKey, key)
	}
	if len(req.Body) > 0 {
		httpReq.Body = io.NopCloser(bytes.NewReader(req.Body))
		httpReq.ContentLength = int64(len(req.Body))
	}
	if key == "" {
		attemptCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		timer := time.AfterFunc(firstByteTimeout, cancel)
		defer timer.Stop()
		httpReq = httpReq.WithContext(httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
			GotFirstResponseByte: func() { timer.Stop() },
		}))
	}
	connected := false
	httpReq = httpReq.WithContext(httptrace.WithClientTrace(httpReq.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}))
	res, err := c.checked.Do(c.Client, httpReq)
	if err != nil && !connected {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if err := exchanger.CheckStatus(res.StatusCode); err != nil {
		return nil, fmt.Errorf("answer of %s: %w", address, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", address, err)
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// entry returns the cached entry answer for a service, or requests and caches a
// new one if there is none or it has expired.
func (c *Caller) entry(ctx context.Context, service lagoonstile.ServiceID) (*cachedEntry, error) {
	c.mu.Lock()
	cached := c.entries[service]
	c.mu.Unlock()
	if cached != nil && time.Now().Before(cached.expires) {
		return cached, nil
	}
	addresses := c.entryAddresses(cached)
	var lastErr error
	for _, address := range addresses {
		answer, err := c.requestEntry(ctx, address, service)
		if err != nil {
			lastErr = err
			continue
		}
		next := &cachedEntry{answer: *answer, expires: time.Now().Add(time.Duration(answer.ValidForMs) * time.Millisecond)}
		c.mu.Lock()
		if c.entries == nil {
			c.entries = make(map[lagoonstile.ServiceID]*cachedEntry)
		}
		c.entries[service] = next
		c.mu.Unlock()
		return next, nil
	}
	return nil, fmt.Errorf("%w: %w", ErrFleetUnavailable, lastErr)
}

// entryAddresses returns the addresses to ask for an entry answer, in this order:
// those of the latest entry answer, if there is one, and the seeds, shuffled.
func (c *Caller) entryAddresses(cached *cachedEntry) []string {
	var addresses []string
	if cached != nil {
		for _, address := range cached.answer.Addresses {
			addresses = append(addresses, address.Address)
		}
	}
	seeds := append([]string(nil), c.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return append(addresses, seeds...)
}

// requestEntry asks one address for an entry answer. The answer has at least one
// address.
func (c *Caller) requestEntry(ctx context.Context, address string, service lagoonstile.ServiceID) (*locator.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lagoonstile/entry?service="+string(service), nil)
	if err != nil {
		return nil, err
	}
	res, err := c.checked.Do(c.Client, httpReq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entry answer of %s: status %d, %s", address, res.StatusCode, res.Header.Get(answerer.HeaderKind))
	}
	var answer locator.Answer
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("entry answer of %s: %w", address, err)
	}
	if len(answer.Addresses) == 0 {
		return nil, fmt.Errorf("entry answer of %s: no addresses", address)
	}
	return &answer, nil
}

// expireEntry makes the next request ask for a new entry answer. It moves the
// first address, which is usually the one that has just failed, to the end of the
// list: an instance that accepts connections but does not answer would cost
// another entryTimeout if it were asked first.
func (c *Caller) expireEntry(service lagoonstile.ServiceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.entries[service]; cached != nil {
		expired := *cached
		expired.expires = time.Time{}
		addresses := cached.answer.Addresses
		expired.answer.Addresses = append(slices.Clone(addresses[1:]), addresses[0])
		c.entries[service] = &expired
	}
}

// withDeadline returns a copy of ctx that can be canceled. If ctx has no deadline,
// the copy ends after defaultTimeout.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// backOff waits before the next attempt, with exponential backoff and jitter, and
// reports whether the context allows another attempt. attempt counts from 0.
func backOff(ctx context.Context, attempt int) bool {
	delay := min(baseBackoff<<min(attempt, 10), maxBackoff)
	timer := time.NewTimer(delay/2 + time.Duration(rand.Int64N(int64(delay))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
