// Package router holds the table that traffic goroutines read: which service a
// request belongs to and everything that is decided about the service. The
// control goroutine publishes a new table when something changes; a table is
// never modified.
package router

import (
	"net"
	"strings"
	"time"

	"lagoonstile"
	"lagoonstile/admitter"
	"lagoonstile/picker"
	"lagoonstile/retrier"
)

// Entry is a service as the traffic side sees it.
type Entry struct {
	Service *lagoonstile.Service
	Pool    *picker.Pool
	// Gate and Budget live as long as the service does. Never nil.
	Gate   *admitter.Gate
	Budget *retrier.Budget
	// SlowAfter is when an unanswered try counts as slow. Over 0.
	SlowAfter time.Duration
}

// Table maps requests to services.
type Table struct {
	Version lagoonstile.Version
	entries map[lagoonstile.ServiceID]*Entry
	// routes maps a host and a path prefix to where they lead. Routes for any
	// host stand under the empty host.
	routes map[string]map[string]Match
}

// Match is where a request goes and how urgent it is.
type Match struct {
	Entry *Entry
	Rank  lagoonstile.Rank
}

// New returns the table of the given entries.
func New(version lagoonstile.Version, entries []*Entry) *Table {
	t := &Table{
		Version: version,
		entries: make(map[lagoonstile.ServiceID]*Entry, len(entries)),
		routes:  make(map[string]map[string]Match),
	}
	for _, entry := range entries {
		t.entries[entry.Service.ID] = entry
		for _, r := range entry.Service.Routes {
			host := strings.ToLower(r.Host)
			if t.routes[host] == nil {
				t.routes[host] = make(map[string]Match)
			}
			t.routes[host][r.PathPrefix] = Match{Entry: entry, Rank: rankOf(r, entry)}
		}
	}
	return t
}

// Service returns the match for a request that names its service. The service's
// own routes may still set the rank.
func (t *Table) Service(id lagoonstile.ServiceID, path string) (Match, bool) {
	entry := t.entries[id]
	if entry == nil {
		return Match{}, false
	}
	match := Match{Entry: entry, Rank: entry.Service.Rank}
	best := 0
	for _, r := range entry.Service.Routes {
		if len(r.PathPrefix) > best && covers(r.PathPrefix, path) {
			best = len(r.PathPrefix)
			match.Rank = rankOf(r, entry)
		}
	}
	return match, true
}

// Entry returns the entry of a service, or nil.
func (t *Table) Entry(id lagoonstile.ServiceID) *Entry { return t.entries[id] }

// Route returns the match for the host and path. Routes of the host itself go
// before those for any host.
func (t *Table) Route(host, path string) (Match, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if match, ok := longest(t.routes[strings.ToLower(host)], path); ok {
		return match, true
	}
	return longest(t.routes[""], path)
}

// longest returns the route with the longest prefix that covers the path. It
// looks up the path and then what is left before each slash, so its cost follows
// the path and not the number of routes.
func longest(routes map[string]Match, path string) (Match, bool) {
	if match, ok := routes[path]; ok {
		return match, true
	}
	for at := strings.LastIndexByte(path, '/'); at >= 0; at = strings.LastIndexByte(path[:at], '/') {
		if match, ok := routes[path[:at+1]]; ok {
			return match, true
		}
		if match, ok := routes[path[:at]]; ok {
			return match, true
		}
	}
	return Match{}, false
}

func rankOf(r lagoonstile.Route, entry *Entry) lagoonstile.Rank {
	if r.Rank != "" {
		return r.Rank
	}
	return entry.Service.Rank
}

// covers reports whether the path is the prefix or lies below it. "/stock"
// covers "/stock/7" and not "/stockings".
func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/")
}
