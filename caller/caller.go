// Package caller is a small client of a fleet that keeps the callers' side of
// its rules. Services that call others through a fleet embed it.
//
// It asks the fleet which addresses to use and keeps the answer for its time;
// goes to the next address when one fails; and keeps an order's key over all
// of its resends, so that the order runs at most once whatever fails. A new
// key is made only after the home itself said that the order did not run and
// never will. An order whose outcome is unknown is never made a second time:
// the caller is told so, with the key, and decides.
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
	"lagoonstile/locator"
)

// Errors that a caller tells apart.
var (
	// ErrUnknown: the order may have run. Ask before making it again.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNotRun: the request did not run.
	ErrNotRun = errors.New("not run")
	// ErrRan: the order ran, and its answer is no longer kept.
	ErrRan = errors.New("ran before")
	// ErrNoFleet: no address of the fleet answered.
	ErrNoFleet = errors.New("no address of the fleet answers")
)

// errUnsent wraps errors before any byte was sent.
var errUnsent = errors.New("not sent")

// Timing of a caller.
const (
	entryTimeout = 2 * time.Second
	// patience is how long a request that may run twice waits for the head of
	// an answer before it goes to the next address.
	patience   = 2 * time.Second
	retryPause = 50 * time.Millisecond
	mostPause  = time.Second
	// defaultDeadline holds when the context has none.
	defaultDeadline = 30 * time.Second
)

// Caller calls services through one fleet. Seeds must be set; it is safe for
// concurrent use.
type Caller struct {
	// Seeds are addresses of instances, IP:port, to ask first.
	Seeds []string
	// Name is the account to be fair to; empty stands for the IP address.
	Name string
	// Client may be nil.
	Client *http.Client

	mu      sync.Mutex
	entries map[lagoonstile.ServiceID]*entry
}

// entry is a kept entry answer.
type entry struct {
	answer locator.Answer
	until  time.Time
}

// Request is what to ask of a service.
type Request struct {
	Service lagoonstile.ServiceID
	Method  string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a whole answer of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is that of an order. Sends counts the times that it was sent.
	Key   string
	Sends int
}

// Do sends a request that may run more than once, to one address after the
// other until one gives a whole answer or the context ends.
func (c *Caller) Do(ctx context.Context, req Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var last error
	for attempt := 0; ; attempt++ {
		entry, err := c.entry(ctx, req.Service)
		if err == nil {
			address := entry.answer.Addresses[attempt%len(entry.answer.Addresses)].Address
			answer, sendErr := c.send(ctx, address, req, "")
			if sendErr == nil && !retriable(answer) {
				return answer, nil
			}
			err = sendErr
			if err == nil {
				err = failureOf(answer)
			} else {
				c.forget(req.Service)
			}
		}
		last = err
		if !pause(ctx, attempt) {
			return nil, fmt.Errorf("%s %s of %s: %w", req.Method, req.Path, req.Service, last)
		}
	}
}

// retriable reports whether the fleet itself asks to try again.
func retriable(answer *Answer) bool {
	return answer.Status == http.StatusServiceUnavailable && answer.Header.Get(answerer.HeaderOutcome) == string(answerer.OutcomeNotRun)
}

// Order sends a request that must not run twice. The error is ErrNotRun,
// ErrRan, ErrUnknown, or that of the context; the answer has the key in each case once
// there is one.
func (c *Caller) Order(ctx context.Context, req Request) (*Answer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	for attempt := 0; ; attempt++ {
		answer, err := c.orderOnce(ctx, req)
		if err == nil || !errors.Is(err, ErrNotRun) || !worthAnotherKey(answer) {
			return answer, err
		}
		// This key never runs, so a new one cannot double the order.
		c.forget(req.Service)
		if !pause(ctx, attempt) {
			return answer, err
		}
	}
}

// worthAnotherKey reports whether another home might take the order.
func worthAnotherKey(answer *Answer) bool {
	return answer == nil || answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusGatewayTimeout
}

// orderOnce makes a key and sends the order with it until there is a word from
// its home.
func (c *Caller) orderOnce(ctx context.Context, req Request) (*Answer, error) {
	entry, err := c.entry(ctx, req.Service)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	key := entry.answer.Home + "." + uuid.NewString()
	var last error
	for attempt := 0; ; attempt++ {
		address := entry.answer.Addresses[attempt%len(entry.answer.Addresses)].Address
		answer, err := c.send(ctx, address, req, key)
		if err == nil {
			answer.Key = key
			answer.Sends = attempt + 1
			return answer, outcomeOf(answer)
		}
		if attempt == 0 && errors.Is(err, errUnsent) {
			// Nobody has seen the key, so it can be given up. Another address
			// could only ask a home that may be gone.
			return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
		}
		last = err
		if !pause(ctx, attempt) {
			return &Answer{Key: key, Sends: attempt + 1}, fmt.Errorf("order %s: %w: %w", key, ErrUnknown, last)
		}
	}
}

// outcomeOf returns nil for an answer of a server.
func outcomeOf(answer *Answer) error {
	kind := answer.Header.Get(answerer.HeaderKind)
	switch answerer.Outcome(answer.Header.Get(answerer.HeaderOutcome)) {
	case "":
		return nil
	case answerer.OutcomeNotRun:
		return fmt.Errorf("%w: %s", ErrNotRun, kind)
	case answerer.OutcomeRan:
		return fmt.Errorf("%w: %s", ErrRan, kind)
	}
	return fmt.Errorf("%w: %s", ErrUnknown, kind)
}

func failureOf(answer *Answer) error {
	if err := outcomeOf(answer); err != nil {
		return err
	}
	return fmt.Errorf("status %d", answer.Status)
}

// send sends a request to one address and reads the whole answer.
func (c *Caller) send(ctx context.Context, address string, req Request, key string) (*Answer, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range req.Header {
		httpReq.Header[name] = values
	}
	httpReq.Header.Set(lagoonstile.HeaderService, string(req.Service))
	if c.Name != "" {
		httpReq.Header.Set(lagoonstile.HeaderCaller, c.Name)
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
		impatient, cancel := context.WithCancel(ctx)
		defer cancel()
		timer := time.AfterFunc(patience, cancel)
		defer timer.Stop()
		httpReq = httpReq.WithContext(httptrace.WithClientTrace(impatient, &httptrace.ClientTrace{
			GotFirstResponseByte: func() { timer.Stop() },
		}))
	}
	connected := false
	httpReq = httpReq.WithContext(httptrace.WithClientTrace(httpReq.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}))
	res, err := c.client().Do(httpReq)
	if err != nil && !connected {
		return nil, fmt.Errorf("%w: %w", errUnsent, err)
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("answer of %s broke off: %w", address, err)
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// entry returns the kept entry answer, or asks for one.
func (c *Caller) entry(ctx context.Context, service lagoonstile.ServiceID) (*entry, error) {
	c.mu.Lock()
	kept := c.entries[service]
	c.mu.Unlock()
	if kept != nil && time.Now().Before(kept.until) {
		return kept, nil
	}
	addresses := c.askAddresses(kept)
	var last error
	for _, address := range addresses {
		answer, err := c.ask(ctx, address, service)
		if err != nil {
			last = err
			continue
		}
		next := &entry{answer: *answer, until: time.Now().Add(time.Duration(answer.ValidForMs) * time.Millisecond)}
		c.mu.Lock()
		if c.entries == nil {
			c.entries = make(map[lagoonstile.ServiceID]*entry)
		}
		c.entries[service] = next
		c.mu.Unlock()
		return next, nil
	}
	return nil, fmt.Errorf("%w: %w", ErrNoFleet, last)
}

// askAddresses lists whom to ask: whoever was named last, then the seeds.
func (c *Caller) askAddresses(kept *entry) []string {
	var addresses []string
	if kept != nil {
		for _, address := range kept.answer.Addresses {
			addresses = append(addresses, address.Address)
		}
	}
	seeds := append([]string(nil), c.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return append(addresses, seeds...)
}

func (c *Caller) ask(ctx context.Context, address string, service lagoonstile.ServiceID) (*locator.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lagoonstile/entry?service="+string(service), nil)
	if err != nil {
		return nil, err
	}
	res, err := c.client().Do(httpReq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entry of %s: status %d, %s", address, res.StatusCode, res.Header.Get(answerer.HeaderKind))
	}
	var answer locator.Answer
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("entry of %s: %w", address, err)
	}
	if len(answer.Addresses) == 0 {
		return nil, fmt.Errorf("entry of %s: no addresses", address)
	}
	return &answer, nil
}

// forget makes the next request ask anew. The addresses named last are asked
// first, but for the first of them, which has just failed: it may be frozen and
// would cost the time of an answer once more.
func (c *Caller) forget(service lagoonstile.ServiceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept := c.entries[service]; kept != nil {
		expired := *kept
		expired.until = time.Time{}
		addresses := kept.answer.Addresses
		expired.answer.Addresses = append(slices.Clone(addresses[1:]), addresses[0])
		c.entries[service] = &expired
	}
}

func (c *Caller) client() *http.Client {
	if c.Client == nil {
		return http.DefaultClient
	}
	return c.Client
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// pause waits a little longer after each attempt, with jitter, and reports
// whether there is time for another.
func pause(ctx context.Context, attempt int) bool {
	bound := min(retryPause<<min(attempt, 10), mostPause)
	timer := time.NewTimer(bound/2 + time.Duration(rand.Int64N(int64(bound))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
