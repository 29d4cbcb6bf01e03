package lagoonstile

import (
	"context"
	"errors"
	"time"
)

// Stream names one stream of the platform's log.
type Stream string

// The streams that the fleet uses.
const (
	StreamConfiguration Stream = "configuration"
	StreamAudit         Stream = "audit"
)

// Log is the platform's append-only log service. Both methods may fail for
// hours, and an Append may take effect although it returned an error.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns records from the given offset on. It may wait for up to the
	// given time until there is one.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Page, error)
}

// Page is what one read of a stream returned.
type Page struct {
	// First is the oldest offset that the log still keeps. When it is over the
	// offset asked for, records between them have expired.
	First Offset
	// Next is the offset that the next append will get.
	Next Offset
	// Retention is how long the log keeps a record.
	Retention time.Duration
	Entries   []Entry
}

// Entry is one record with its place in the stream.
type Entry struct {
	Offset Offset
	// At is the log's own time of the append.
	At   time.Time
	Data []byte
}

// InstanceState is what the instance list says of an instance.
type InstanceState string

// The states of an instance in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one line of the instance list.
type Instance struct {
	ID    InstanceID    `json:"id"`
	State InstanceState `json:"state"`
	// The addresses of its three listeners are IP:port.
	CallerAddress string        `json:"caller-address"`
	PeerAddress   string        `json:"peer-address"`
	AdminAddress  string        `json:"admin-address"`
	FailureDomain FailureDomain `json:"failure-domain"`
}

// InstanceList is the platform's lagging list of the fleet's instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// ErrUnavailable is wrapped by every error of a platform service that did not
// answer; the operation may have taken effect all the same.
var ErrUnavailable = errors.New("platform service unavailable")
