package throttler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
	"lagoonstile/ranker"
)

// Numbers of owners. More owners lose less of a quota with each that fails. Fewer save
// whole tokens sooner.
const (
	smallRateOwners = 4
	owners          = 8
	// smallRate is the rate in requests per second up to which an account has
	// smallRateOwners.
	smallRate = 5
)

// ownersPerDomain returns the number of owners in each of some failure domains.
func ownersPerDomain(quota lagoonstile.Quota, domains int) int {
	total := owners
	if quota.Rate <= smallRate {
		total = smallRateOwners
	}
	return (total + domains - 1) / domains
}

// setOwners computes the owners of an account from the members. A share that this
// instance did not own before starts with an empty bucket. A share of an account of
// its first plan accrues from the start of the instance, with a head start.
func (t *Throttler) setOwners(now time.Time, a *account) {
	if len(t.domains) == 0 {
		return
	}
	known := a.owners
	a.owners = make([]ownerState, 0, len(known))
	owns, total := false, 0
	perDomain := ownersPerDomain(a.quota, len(t.domains))
	for _, members := range t.domains {
		t.chosen = highest(t.chosen, members, a.hash, perDomain)
		total += len(t.chosen)
		owns = t.addOwners(a, t.chosen, known) || owns
	}
	slices.SortFunc(a.owners, t.compareOwners)
	if a.ownerShare > 0 || !a.planned {
		a.bucket.refill(now, t.accruesFrom, a.rate(), a.size())
	} else if owns && t.standing != New {
		a.bucket.tokens = t.headStart(a, total)
	}
	a.ownerShare = 1 / float64(total)
	a.share = 0
	if owns {
		a.share = a.ownerShare
	}
	a.bucket.refill(now, t.accruesFrom, a.rate(), a.size())
}

// headStart returns the part of a token with which this instance starts as one of some
// owners of an account. If all start at once, their first whole tokens come one after
// the other at the rate of the quota, and not all together after as many times as long.
func (t *Throttler) headStart(a *account, owners int) float64 {
	after := owners - 1
	for i := range a.owners {
		if ranker.Rank(a.hash, a.owners[i].peer.hash) > ranker.Rank(a.hash, t.self.hash) {
			after--
		}
	}
	return float64(after) / float64(owners)
}

// addOwners adds the members of one failure domain, without this instance, to the
// owners of an account, and reports whether this instance is among them. What is known
// of them is kept.
func (t *Throttler) addOwners(a *account, members []ranked, known []ownerState) (owns bool) {
	first := len(a.owners)
	for _, member := range members {
		if member.peer == &t.self {
			owns = true
			continue
		}
		owner := ownerState{peer: member.peer}
		if i := slices.IndexFunc(known, func(o ownerState) bool { return o.peer == member.peer }); i >= 0 {
			owner = known[i]
		}
		a.owners = append(a.owners, owner)
	}
	added := a.owners[first:]
	slices.SortFunc(added, func(x, y ownerState) int { return t.comparePeers(x.peer, y.peer) })
	for round := range added {
		added[round].round = round
	}
	return owns
}

// compareOwners orders owners by when to ask them: first one of the own failure domain,
// then one of each other, and again.
func (t *Throttler) compareOwners(x, y ownerState) int {
	return cmp.Or(cmp.Compare(x.round, y.round), t.comparePeers(x.peer, y.peer))
}

// comparePeers orders the members of this failure domain before the others, and those
// alike in an order that differs between instances.
func (t *Throttler) comparePeers(x, y *peer) int {
	if near := x.domain == t.self.domain; near != (y.domain == t.self.domain) {
		if near {
			return -1
		}
		return 1
	}
	return cmp.Compare(ranker.Rank(t.self.hash, x.hash), ranker.Rank(t.self.hash, y.hash))
}

// ranked is a member with its rank for an account.
type ranked struct {
	peer *peer
	rank uint64
}

// highest returns the n members that rank highest for a hash. It uses the room of
// chosen.
func highest(chosen []ranked, members []*peer, hash uint64, n int) []ranked {
	chosen = chosen[:0]
	for _, p := range members {
		next := ranked{p, ranker.Rank(hash, p.hash)}
		if len(chosen) == n && next.rank <= chosen[n-1].rank {
			continue
		}
		at := len(chosen)
		for at > 0 && next.rank > chosen[at-1].rank {
			at--
		}
		chosen = slices.Insert(chosen, at, next)
		chosen = chosen[:min(len(chosen), n)]
	}
	return chosen
}

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }
