// Package recorder keeps an instance's metrics and writes them as text, one
// "name value" pair per line.
package recorder

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lagoonstile"
	"lagoonstile/answerer"
)

// Recorder holds the metrics of one instance. It is safe for concurrent use. Create
// it with New.
type Recorder struct {
	registry metrics.Registry
	// cache maps values of the key types below to their metrics, so that a request
	// neither takes the registry's lock nor formats a name.
	cache sync.Map
}

// New returns a recorder without metrics.
func New() *Recorder {
	return &Recorder{registry: metrics.NewRegistry()}
}

// requestKey identifies the timer of requests with the same service, rank and
// kind.
type requestKey struct {
	service lagoonstile.ServiceID
	rank    lagoonstile.Rank
	kind    answerer.Kind
}

// retryKey identifies a counter of retries or hedged requests.
type retryKey struct {
	service lagoonstile.ServiceID
	hedge   bool
}

// Request records one finished request and its duration. The kind is empty if the
// response came from a server.
func (r *Recorder) Request(service lagoonstile.ServiceID, rank lagoonstile.Rank, kind answerer.Kind, duration time.Duration) {
	key := requestKey{service, rank, kind}
	if timer, ok := r.cache.Load(key); ok {
		timer.(metrics.Timer).Update(duration)
		return
	}
	name := fmt.Sprintf("requests.%s.%s.%s", nameOrNone(string(service)), nameOrNone(string(rank)), kindOrAnswered(kind))
	timer := metrics.GetOrRegisterTimer(name, r.registry)
	r.cache.Store(key, timer)
	timer.Update(duration)
}

// Retry counts one retry or, if hedge is true, one hedged request.
func (r *Recorder) Retry(service lagoonstile.ServiceID, hedge bool) {
	key := retryKey{service, hedge}
	if counter, ok := r.cache.Load(key); ok {
		counter.(metrics.Counter).Inc(1)
		return
	}
	prefix := "retries"
	if hedge {
		prefix = "hedges"
	}
	counter := metrics.GetOrRegisterCounter(prefix+"."+string(service), r.registry)
	r.cache.Store(key, counter)
	counter.Inc(1)
}

// relayedKey identifies the timer of requests with the same route, kind and
// status.
type relayedKey struct {
	route  string
	kind   answerer.Kind
	status int
}

// Relayed records one finished request of a planned route and its duration. The
// kind is empty if the response came from a server.
func (r *Recorder) Relayed(route string, kind answerer.Kind, status int, duration time.Duration) {
	key := relayedKey{route, kind, status}
	if timer, ok := r.cache.Load(key); ok {
		timer.(metrics.Timer).Update(duration)
		return
	}
	timer := metrics.GetOrRegisterTimer(fmt.Sprintf("relayed.%s.%s.%d", nameOrNone(route), kindOrAnswered(kind), status), r.registry)
	r.cache.Store(key, timer)
	timer.Update(duration)
}

// sentKey identifies a counter of attempts.
type sentKey struct {
	service lagoonstile.ServiceID
	outcome string
	repeat  bool
}

// Sent counts one attempt on a server. Repeat is true for retries and hedged
// requests, with the exception that relayer.Recorder states.
func (r *Recorder) Sent(service lagoonstile.ServiceID, outcome string, repeat bool) {
	key := sentKey{service, outcome, repeat}
	if counter, ok := r.cache.Load(key); ok {
		counter.(metrics.Counter).Inc(1)
		return
	}
	attempt := "first"
	if repeat {
		attempt = "repeat"
	}
	counter := metrics.GetOrRegisterCounter(fmt.Sprintf("sent.%s.%s.%s", service, attempt, outcome), r.registry)
	r.cache.Store(key, counter)
	counter.Inc(1)
}

// SetGauge sets the gauge with the given name.
func (r *Recorder) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, r.registry).Update(value)
}

// ReplaceGauges sets the gauges whose names are the prefix and a key of values, and
// removes all others that have the prefix.
func (r *Recorder) ReplaceGauges(prefix string, values map[string]int64) {
	r.registry.Each(func(name string, _ any) {
		key, found := strings.CutPrefix(name, prefix)
		if _, kept := values[key]; found && !kept {
			r.registry.Unregister(name)
		}
	})
	for key, value := range values {
		r.SetGauge(prefix+key, value)
	}
}

// WriteTo writes all metrics, sorted by name. Each timer becomes a count and its
// 50th and 99th percentiles in microseconds.
func (r *Recorder) WriteTo(w io.Writer) (int64, error) {
	var lines []string
	r.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Timer:
			snapshot := m.Snapshot()
			micros := float64(time.Microsecond)
			lines = append(lines,
				fmt.Sprintf("%s.count %d", name, snapshot.Count()),
				fmt.Sprintf("%s.p50-us %.0f", name, snapshot.Percentile(0.5)/micros),
				fmt.Sprintf("%s.p99-us %.0f", name, snapshot.Percentile(0.99)/micros))
		}
	})
	slices.Sort(lines)
	n, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return int64(n), err
}

// nameOrNone returns the name, or "none" if it is empty.
func nameOrNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

// kindOrAnswered returns the kind, or "answered" if it is empty.
func kindOrAnswered(kind answerer.Kind) string {
	if kind == "" {
		return "answered"
	}
	return string(kind)
}
