// Package messenger carries what instances tell each other in datagrams.
//
// A datagram needs no connection that could go silent, and one that is lost is
// made good by the next: all that is said is either cumulative or said again.
// What peers should hear at once goes out at once; the rest with the next beat.
// Datagrams count only from the address of a known member.
package messenger

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lagoonstile"
	"lagoonstile/encoder"
	"lagoonstile/steerer"
)

// Timing and bounds.
const (
	// BeatInterval is how often an instance speaks without a reason.
	BeatInterval = 300 * time.Millisecond
	// repeatFor is how long a change is said again, in case a datagram is lost.
	repeatFor = 2*BeatInterval + BeatInterval/2
	// maxReports keeps a datagram under the size of an Ethernet frame.
	maxReports = 64
	// maxDatagram bounds what is read.
	maxDatagram = 8 << 10
	// MaxPrints bounds the suspected requests in one datagram.
	MaxPrints = 16
)

// Digest is one datagram. Who speaks follows from where it comes from, and what
// members announced of themselves is not said again.
type Digest struct {
	Incarnation lagoonstile.Incarnation `cbor:"1,keyasint"`
	Version     lagoonstile.Version     `cbor:"2,keyasint,omitempty"`
	Leaving     bool                    `cbor:"3,keyasint,omitempty"`
	Reports     []steerer.Report        `cbor:"4,keyasint,omitempty"`
	// Crashes counts the servers that crashed on requests, by print.
	Crashes map[uint64]int `cbor:"5,keyasint,omitempty"`
	Known   Known          `cbor:"6,keyasint"`
}

// Known says up to which offsets an instance knows what the fleet follows.
type Known struct {
	_       struct{} `cbor:",toarray"`
	Plans   lagoonstile.Offset
	Entries lagoonstile.Offset
	Members lagoonstile.Offset
	// Reads says that the instance gets this from the store itself.
	Reads bool
}

// Source says what the instance has to tell.
type Source interface {
	// Own returns the digest without reports.
	Own() Digest
	// Reports returns what changed since the given time.
	Reports(since time.Time) []steerer.Report
}

// Messenger is the datagram socket of one instance.
type Messenger struct {
	source Source
	hear   func(lagoonstile.InstanceID, Digest)
	log    *slog.Logger
	socket *net.UDPConn

	mu sync.Mutex
	// members maps the address that a member's datagrams come from to its id.
	members map[netip.AddrPort]lagoonstile.InstanceID

	sent, sentBytes, strangers atomic.Int64
}

// Listen opens the socket on an IP:port. The hear function is called for each
// digest of a member, on the reading goroutine.
func Listen(address string, source Source, hear func(lagoonstile.InstanceID, Digest), log *slog.Logger) (*Messenger, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peers on %s: %w", address, err)
	}
	socket, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, fmt.Errorf("peers on %s: %w", address, err)
	}
	m := &Messenger{source: source, hear: hear, log: log, socket: socket, members: make(map[netip.AddrPort]lagoonstile.InstanceID)}
	go m.read()
	return m, nil
}

// Address returns the IP:port of the socket.
func (m *Messenger) Address() string { return m.socket.LocalAddr().String() }

// Close ends the messenger.
func (m *Messenger) Close() { _ = m.socket.Close() }

// SetMembers replaces the members that are told and heard.
func (m *Messenger) SetMembers(members []lagoonstile.Member) {
	next := make(map[netip.AddrPort]lagoonstile.InstanceID, len(members))
	for _, member := range members {
		address, err := netip.ParseAddrPort(member.PeerAddress)
		if err != nil {
			m.log.Warn("member-without-address", "peer", member.ID, "cause", err)
			continue
		}
		next[address] = member.ID
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = next
}

// Sent returns how many datagrams went out, and their bytes.
func (m *Messenger) Sent() (datagrams, bytes int64) { return m.sent.Load(), m.sentBytes.Load() }

// Strangers returns how many datagrams came from no member.
func (m *Messenger) Strangers() int64 { return m.strangers.Load() }

// Beat speaks to all members until the end of the context.
func (m *Messenger) Beat(ctx context.Context) {
	ticker := time.NewTicker(BeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.Tell(m.source.Reports(now.Add(-repeatFor)))
		}
	}
}

// Tell sends reports to all members at once.
func (m *Messenger) Tell(reports []steerer.Report) {
	digest := m.source.Own()
	for {
		n := min(len(reports), maxReports)
		digest.Reports = reports[:n]
		reports = reports[n:]
		m.broadcast(digest)
		if len(reports) == 0 {
			return
		}
	}
}

func (m *Messenger) broadcast(digest Digest) {
	data, err := encoder.Encode(digest)
	if err != nil {
		m.log.Error("digest-not-encoded", "cause", err)
		return
	}
	m.mu.Lock()
	to := make([]netip.AddrPort, 0, len(m.members))
	for address := range m.members {
		to = append(to, address)
	}
	m.mu.Unlock()
	for _, address := range to {
		// A datagram that can't be sent is as good as lost.
		if _, err := m.socket.WriteToUDPAddrPort(data, address); err == nil {
			m.sent.Add(1)
			m.sentBytes.Add(int64(len(data)))
		}
	}
}

func (m *Messenger) read() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := m.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The socket is closed.
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		m.mu.Lock()
		id, known := m.members[from]
		m.mu.Unlock()
		if !known {
			m.strangers.Add(1)
			continue
		}
		var digest Digest
		if err := encoder.Decode(buffer[:n], &digest); err != nil {
			m.log.Warn("digest-refused", "from", from, "peer", id, "cause", err)
			continue
		}
		m.hear(id, digest)
	}
}
