package lagoonstile

import (
	"fmt"
	"strings"
)

// Identifiers of the things that a configuration names. Each is unique within
// the fleet, case-sensitive, and opaque to everything but the operator.
type (
	// ServerID names one server of one service.
	ServerID string
	// ServiceID names one service.
	ServiceID string
	// InstanceID names one instance of the fleet as the instance list does.
	InstanceID string
	// FailureDomain names a set of instances and servers that fail together.
	FailureDomain string
	// CallerID names the account on whose behalf a request comes.
	CallerID string
	// ChangeID names one configuration change over all of its appends.
	ChangeID string
)

// Version counts the changes that have taken effect since the empty
// configuration, which is version 0.
type Version uint64

// Offset is the position of a record in a stream of the platform's log.
type Offset uint64

// Incarnation tells the runs of one instance apart. A process draws it when it
// starts; a restarted instance has another one.
type Incarnation string

// Rank is the urgency of a service's work.
type Rank string

// The ranks, most urgent first.
const (
	RankOrders    Rank = "orders"
	RankLookups   Rank = "lookups"
	RankDownloads Rank = "downloads"
)

// Ranks lists every rank, most urgent first.
func Ranks() []Rank {
	return []Rank{RankOrders, RankLookups, RankDownloads}
}

// Valid reports whether r is one of the ranks.
func (r Rank) Valid() bool {
	switch r {
	case RankOrders, RankLookups, RankDownloads:
		return true
	}
	return false
}

// Home is the token that ties an order's key to the only process that may
// dispatch it: one incarnation of one instance, in one epoch of its key table.
type Home struct {
	Instance    InstanceID
	Incarnation Incarnation
	Epoch       uint64
}

// homeSeparator stands between the parts of a home token; instance ids must
// not contain it.
const homeSeparator = "."

// String returns the token as callers carry it, for example "proxy-3.9f2c.1".
func (h Home) String() string {
	return fmt.Sprintf("%s%s%s%s%d", h.Instance, homeSeparator, h.Incarnation, homeSeparator, h.Epoch)
}

// SplitKey takes an idempotency key apart into its home and the caller's own
// part. Both must be there.
func SplitKey(key string) (Home, string, error) {
	parts := strings.SplitN(key, homeSeparator, 4)
	if len(parts) != 4 {
		return Home{}, "", fmt.Errorf("idempotency key %q: want instance.incarnation.epoch.own-part", key)
	}
	for _, part := range parts {
		if part == "" {
			return Home{}, "", fmt.Errorf("idempotency key %q: empty part", key)
		}
	}
	var epoch uint64
	if _, err := fmt.Sscanf(parts[2], "%d", &epoch); err != nil || fmt.Sprint(epoch) != parts[2] {
		return Home{}, "", fmt.Errorf("idempotency key %q: epoch %q is not a number", key, parts[2])
	}
	home := Home{Instance: InstanceID(parts[0]), Incarnation: Incarnation(parts[1]), Epoch: epoch}
	return home, parts[3], nil
}
