// Package recorder keeps an instance's metrics and writes them out as lines of
// "name value".
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

// Recorder counts requests by service, rank and kind. Use New.
type Recorder struct {
	registry metrics.Registry
	// known spares the registry's lock and the building of names.
	known sync.Map
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{registry: metrics.NewRegistry()}
}

// requestKey names the metrics of one kind of request.
type requestKey struct {
	service lagoonstile.ServiceID
	rank    lagoonstile.Rank
	kind    answerer.Kind
}

type retryKey struct {
	service lagoonstile.ServiceID
	hedge   bool
}

// Request counts one finished request; the empty kind stands for an answer of
// a server.
func (r *Recorder) Request(service lagoonstile.ServiceID, rank lagoonstile.Rank, kind answerer.Kind, duration time.Duration) {
	key := requestKey{service, rank, kind}
	if timer, ok := r.known.Load(key); ok {
		timer.(metrics.Timer).Update(duration)
		return
	}
	name := fmt.Sprintf("requests.%s.%s.%s", orNone(string(service)), orNone(string(rank)), orAnswered(kind))
	timer := metrics.GetOrRegisterTimer(name, r.registry)
	r.known.Store(key, timer)
	timer.Update(duration)
}

// Retry counts one more try of a request.
func (r *Recorder) Retry(service lagoonstile.ServiceID, hedge bool) {
	key := retryKey{service, hedge}
	if counter, ok := r.known.Load(key); ok {
		counter.(metrics.Counter).Inc(1)
		return
	}
	what := "retries"
	if hedge {
		what = "hedges"
	}
	counter := metrics.GetOrRegisterCounter(what+"."+string(service), r.registry)
	r.known.Store(key, counter)
	counter.Inc(1)
}

// relayedKey names the metrics of one route's requests.
type relayedKey struct {
	route  string
	kind   answerer.Kind
	status int
}

// Relayed counts one finished request of a planned route; the empty kind stands
// for an answer of a server.
func (r *Recorder) Relayed(route string, kind answerer.Kind, status int, duration time.Duration) {
	key := relayedKey{route, kind, status}
	if timer, ok := r.known.Load(key); ok {
		timer.(metrics.Timer).Update(duration)
		return
	}
	timer := metrics.GetOrRegisterTimer(fmt.Sprintf("relayed.%s.%s.%d", orNone(route), orAnswered(kind), status), r.registry)
	r.known.Store(key, timer)
	timer.Update(duration)
}

type sentKey struct {
	service lagoonstile.ServiceID
	outcome string
	repeat  bool
}

// Sent counts one send to a server.
func (r *Recorder) Sent(service lagoonstile.ServiceID, outcome string, repeat bool) {
	key := sentKey{service, outcome, repeat}
	if counter, ok := r.known.Load(key); ok {
		counter.(metrics.Counter).Inc(1)
		return
	}
	what := "first"
	if repeat {
		what = "repeat"
	}
	counter := metrics.GetOrRegisterCounter(fmt.Sprintf("sent.%s.%s.%s", service, what, outcome), r.registry)
	r.known.Store(key, counter)
	counter.Inc(1)
}

// Gauge sets a named value.
func (r *Recorder) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, r.registry).Update(value)
}

// WriteTo writes every metric, sorted by name. Times are in microseconds.
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

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

func orAnswered(kind answerer.Kind) string {
	if kind == "" {
		return "answered"
	}
	return string(kind)
}
