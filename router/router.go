// Package router holds the routing tables that traffic goroutines read. A table
// gives the service or the route that a request belongs to. A Table also refers to
// the state that the requests of a service share. Tables are never modified; when
// something changes, a new one replaces them.
package router

import (
	"net"
	"strings"
	"time"

	"lagoonstile"
	"lagoonstile/admitter"
	"lagoonstile/authenticator"
	"lagoonstile/picker"
	"lagoonstile/retrier"
)

// Entry is a service with the state that is needed to handle its requests.
type Entry struct {
	Service *lagoonstile.Service
	Pool    *picker.Pool
	// Gate and Budget are the same in all tables as long as the service exists.
	// They are never nil.
	Gate   *admitter.Gate
	Budget *retrier.Budget
	// SlowAfter is the time after which an unanswered attempt counts as slow. It is
	// greater than 0.
	SlowAfter time.Duration
}

// Table maps requests to services. It is never modified after New.
type Table struct {
	Version lagoonstile.Version
	entries map[lagoonstile.ServiceID]*Entry
	// routes maps a lower-case host and a normalized path prefix to the match. Routes
	// for any host have the empty host.
	routes map[string]map[string]Match
	// accounts finds the client account of a key.
	accounts *authenticator.Accounts
}

// Match is the service of a request and the request's rank.
type Match struct {
	Entry *Entry
	Rank  lagoonstile.Rank
}

// New returns a table of the given entries and client accounts. If there are no
// accounts, requests need no key.
func New(version lagoonstile.Version, entries []*Entry, accounts []lagoonstile.Account) *Table {
	t := &Table{
		Version:  version,
		entries:  make(map[lagoonstile.ServiceID]*Entry, len(entries)),
		routes:   make(map[string]map[string]Match),
		accounts: &authenticator.Accounts{},
	}
	if len(accounts) > 0 {
		t.accounts = authenticator.New(accounts)
	}
	for _, entry := range entries {
		t.entries[entry.Service.ID] = entry
		for _, r := range entry.Service.Routes {
			host := strings.ToLower(r.Host)
			if t.routes[host] == nil {
				t.routes[host] = make(map[string]Match)
			}
			t.routes[host][normalize(r.PathPrefix)] = Match{Entry: entry, Rank: rankOf(r, entry)}
		}
	}
	return t
}

// Service returns the match for a request that names its service. The rank is
// that of the service's route with the longest prefix that matches the path, which is
// given as it was sent, or else the service's own. The result is false if the table has no such service.
func (t *Table) Service(id lagoonstile.ServiceID, path string) (Match, bool) {
	entry := t.entries[id]
	if entry == nil {
		return Match{}, false
	}
	match := Match{Entry: entry, Rank: entry.Service.Rank}
	path = normalize(path)
	longest := 0
	for _, r := range entry.Service.Routes {
		prefix := normalize(r.PathPrefix)
		if len(prefix) > longest && matchesPrefix(prefix, path) {
			longest = len(prefix)
			match.Rank = rankOf(r, entry)
		}
	}
	return match, true
}

// Accounts returns the client accounts.
func (t *Table) Accounts() *authenticator.Accounts { return t.accounts }

// Entry returns the entry of a service, or nil if there is none.
func (t *Table) Entry(id lagoonstile.ServiceID) *Entry { return t.entries[id] }

// Route returns the match with the longest path prefix for a host, whose port is
// ignored, and a path as it was sent, not decoded. Routes of the host take precedence
// over routes for any host. The result is false if no route matches.
func (t *Table) Route(host, path string) (Match, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path = normalize(path)
	if match, ok := longestMatch(t.routes[strings.ToLower(host)], path); ok {
		return match, true
	}
	return longestMatch(t.routes[""], path)
}

// longestMatch returns the match with the longest prefix that matches the path.
// It looks up the path, and then the path truncated at each slash from the last
// to the first, so its cost depends on the path and not on the number of routes.
func longestMatch(routes map[string]Match, path string) (Match, bool) {
	if match, ok := routes[path]; ok {
		return match, true
	}
	for slash := strings.LastIndexByte(path, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if match, ok := routes[path[:slash+1]]; ok {
			return match, true
		}
		if match, ok := routes[path[:slash]]; ok {
			return match, true
		}
	}
	return Match{}, false
}

// rankOf returns the rank of a route, which defaults to that of its service.
func rankOf(r lagoonstile.Route, entry *Entry) lagoonstile.Rank {
	if r.Rank != "" {
		return r.Rank
	}
	return entry.Service.Rank
}

// matchesPrefix reports whether the path is equal to the prefix or below it.
// "/stock" matches "/stock/7" but not "/stockings".
func matchesPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/")
}
