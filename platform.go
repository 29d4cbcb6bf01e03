package lagoonstile

import (
	"context"
	"errors"
	"time"
)

// Stream is the name of a stream of the platform's log.
type Stream string

// The streams that the fleet uses.
const (
	StreamConfiguration Stream = "configuration"
	StreamAudit         Stream = "audit"
)

// Log is the platform's append-only log service. It may be unavailable for
// hours. An Append that returns an error may still have taken effect.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns records starting at the given offset. If there are none, it
	// may wait up to the given duration for one.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Page, error)
}

// Page is the result of one read of a stream.
type Page struct {
	// First is the offset of the oldest record that the log still has. If it is
	// greater than the requested offset, the records between them have expired.
	First Offset
	// Next is the offset of the next record to be appended.
	Next Offset
	// Retention is how long the log keeps a record.
	Retention time.Duration
	Entries   []Entry
}

// Entry is one record with its offset in the stream.
type Entry struct {
	Offset Offset
	// At is the time of the append by the log's clock.
	At   time.Time
	Data []byte
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The instance states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID    InstanceID    `json:"id"`
	State InstanceState `json:"state"`
	// The addresses of the three listeners have the form IP:port.
	CallerAddress string        `json:"caller-address"`
	PeerAddress   string        `json:"peer-address"`
	AdminAddress  string        `json:"admin-address"`
	FailureDomain FailureDomain `json:"failure-domain"`
}

// InstanceList is the platform's list of the fleet's instances, which may be out
// of date.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// ErrUnavailable is wrapped by the error of every call that got no valid response
// from a platform service. The operation may still have taken effect.
var ErrUnavailable = errors.New("platform service unavailable")
