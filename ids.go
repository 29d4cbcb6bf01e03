package lagoonstile

import (
	"fmt"
	"strings"
)

// Identifiers. They are case-sensitive, and the software attaches no meaning to
// their text.
type (
	// ServerID identifies one server of one service. It is unique within a service
	// of a configuration, and within the whole fleet if servers register themselves.
	ServerID string
	// ServiceID identifies a service.
	ServiceID string
	// InstanceID identifies an instance of the fleet; the instance list uses the same
	// ids. It stays the same when the instance restarts.
	InstanceID string
	// FailureDomain identifies a set of instances and servers that can fail
	// together.
	FailureDomain string
	// CallerID identifies the client account on whose behalf a request is made.
	CallerID string
	// ChangeID identifies a configuration change. It stays the same if the change
	// is appended to the log more than once.
	ChangeID string
)

// Version is the version of a Configuration or a Plan. That of a configuration is
// the number of changes that have taken effect since the empty configuration,
// which is version 0. That of a plan is set by its publisher and greater than 0.
type Version uint64

// Offset is the position of a record in a stream of the platform's log.
type Offset uint64

// Incarnation distinguishes the runs of one instance. A process draws a random
// one when it starts, so a restarted instance has a different incarnation.
type Incarnation string

// Rank is the priority class of a service's requests.
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

// RankOfPriority returns the rank with a priority, where 0 is the most urgent. All
// numbers beyond the ranks mean the least urgent one.
func RankOfPriority(priority int) Rank {
	ranks := Ranks()
	return ranks[min(max(priority, 0), len(ranks)-1)]
}

// Home identifies the only process that may dispatch an order, which is a
// non-idempotent request: one incarnation of one instance, in one epoch of its
// key table. The idempotency key of an order starts with its home.
type Home struct {
	Instance    InstanceID
	Incarnation Incarnation
	Epoch       uint64
}

// homeSeparator separates the parts of an encoded home. Instance ids must not
// contain it.
const homeSeparator = "."

// String returns the form that callers use in keys, for example "proxy-3.9f2c.1".
func (h Home) String() string {
	return fmt.Sprintf("%s%s%s%s%d", h.Instance, homeSeparator, h.Incarnation, homeSeparator, h.Epoch)
}

// SplitKey splits an idempotency key into its home and the part that the caller
// chose. It returns an error if the home is malformed or either part is missing.
func SplitKey(key string) (Home, string, error) {
	parts := strings.SplitN(key, homeSeparator, 4)
	if len(parts) != 4 {
		return Home{}, "", fmt.Errorf("idempotency key %q: want the form instance.incarnation.epoch.caller-part", key)
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
