// Package messenger exchanges gossip between instances in UDP datagrams.
//
// Heartbeats and reports on servers go to the members of the sender's cell (package
// partitioner). Members of other cells in the sender's failure domain learn that it
// lives from rosters, which members pass on to a few others chosen at random, so
// that the number of datagrams does not grow with the fleet (as in A. Das, I. Gupta,
// A. Motivala, "SWIM", DSN 2002). Rare and urgent news go to all members.
//
// Datagrams need no connection, which could fail silently. A lost datagram does
// no lasting harm, because all content is either cumulative or sent again. Urgent
// reports are sent immediately, the others with the next heartbeat. Datagrams are
// accepted only from the addresses of known members.
package messenger

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
	"lagoonstile/encoder"
	"lagoonstile/steerer"
	"lagoonstile/throttler"
)

// Timing and limits of datagrams.
const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = 300 * time.Millisecond
	// rosterBeats is the number of heartbeats for each roster.
	rosterBeats = 2
	// reportRepeatTime is how long heartbeats repeat a changed report, in case a
	// datagram is lost.
	reportRepeatTime = 2*HeartbeatInterval + HeartbeatInterval/2
	// maxReportsPerDatagram keeps a datagram within one Ethernet frame.
	maxReportsPerDatagram = 64
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 8 << 10
	// MaxFingerprints bounds the number of suspected requests in one datagram.
	MaxFingerprints = 16
)

// Digest is the content of one datagram. The receiver identifies the sender by its
// address, so the digest does not name it. Nor does the digest repeat what a
// member has announced about itself (lagoonstile.Member).
type Digest struct {
	Incarnation lagoonstile.Incarnation `cbor:"1,keyasint"`
	Version     lagoonstile.Version     `cbor:"2,keyasint,omitempty"`
	Leaving     bool                    `cbor:"3,keyasint,omitempty"`
	Reports     []steerer.Report        `cbor:"4,keyasint,omitempty"`
	// Crashes holds, for the fingerprint of each suspected request, the length of its
	// row of crashes (quarantiner.Evidence).
	Crashes map[uint64]int `cbor:"5,keyasint,omitempty"`
	Offsets Offsets        `cbor:"6,keyasint"`
	// Roster tells what the sender knows of members of the receiver's failure domain.
	Roster []RosterEntry `cbor:"7,keyasint,omitempty"`
	// Read holds the offsets up to which the sender has read the topics. Offsets has
	// those of the last changes, so nothing changed in between.
	Read Offsets `cbor:"8,keyasint"`
	// Clearances holds, for the fingerprint of each request that had a row of crashes
	// and was completed, how often that was so (quarantiner.Evidence).
	Clearances map[uint64]int `cbor:"9,keyasint,omitempty"`
}

// isQuotaMessage reports whether a datagram is a throttler.Message, which is encoded as
// an array. A digest is encoded as a map.
func isQuotaMessage(datagram []byte) bool {
	const cborArray = 4
	return len(datagram) > 0 && datagram[0]>>5 == cborArray
}

// Run identifies one incarnation of an instance in a roster.
type Run uint32

// RunOf returns the run of a member.
func RunOf(member lagoonstile.Member) Run {
	return Run(xxhash.Sum64String(string(member.ID) + "/" + string(member.Incarnation)))
}

// RosterEntry is the last sign of life of an instance that the sender knows.
type RosterEntry struct {
	_   struct{} `cbor:",toarray"`
	Run Run
	// Age is the time since that sign of life, in units of RosterAgeUnit.
	Age uint8
	// Ready is true if the instance takes new clients.
	Ready bool
}

// RosterAgeUnit is the unit of RosterEntry.Age.
const RosterAgeUnit = 100 * time.Millisecond

// Offsets holds an offset of each topic that all instances follow.
type Offsets struct {
	_       struct{} `cbor:",toarray"`
	Plans   lagoonstile.Offset
	Entries lagoonstile.Offset
	Members lagoonstile.Offset
	// ReadsStore is true if the instance reads the topics from the store itself and not
	// from a peer.
	ReadsStore bool
}

// Source provides the content of an instance's digests.
type Source interface {
	// Self returns what the instance announces about itself.
	Self() lagoonstile.Member
	// LocalDigest returns the instance's digest without reports.
	LocalDigest() Digest
	// Reports returns the reports on servers that changed after the given time.
	Reports(since time.Time) []steerer.Report
	// Roster returns a roster and the members to send it to, both empty if no roster
	// is needed.
	Roster() ([]RosterEntry, []lagoonstile.InstanceID)
}

// Receiver gets the content of datagrams from members, on the receiving goroutine.
type Receiver interface {
	ReceiveDigest(lagoonstile.InstanceID, Digest)
	ReceiveQuotaMessage(lagoonstile.InstanceID, throttler.Message)
}

// Messenger sends and receives the datagrams of one instance. Create it with
// Listen.
type Messenger struct {
	source   Source
	receiver Receiver
	log      *slog.Logger
	socket   *net.UDPConn

	mu sync.Mutex
	// members maps the source address of each member's datagrams to its ID, and
	// addresses is the inverse.
	members   map[netip.AddrPort]lagoonstile.InstanceID
	addresses map[lagoonstile.InstanceID]netip.AddrPort
	// cell holds the addresses of the members that heartbeats and reports go to.
	cell []netip.AddrPort
	// near holds those of cell in this instance's failure domain.
	near []netip.AddrPort

	sentDatagrams, sentBytes, unknownSenders atomic.Int64
}

// Listen opens the socket on an IPv4 address and port and starts to receive
// datagrams, whose content it passes to the receiver.
func Listen(address string, source Source, receiver Receiver, log *slog.Logger) (*Messenger, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", address, err)
	}
	socket, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", address, err)
	}
	m := &Messenger{source: source, receiver: receiver, log: log, socket: socket, members: make(map[netip.AddrPort]lagoonstile.InstanceID)}
	go m.readLoop()
	return m, nil
}

// Address returns the IP:port of the socket.
func (m *Messenger) Address() string { return m.socket.LocalAddr().String() }

// Close closes the socket and stops receiving.
func (m *Messenger) Close() { _ = m.socket.Close() }

// SetMembers replaces the members that datagrams are accepted from. Heartbeats and
// reports go to those of them that are in the cell. A member without a valid peer
// address is logged and left out.
func (m *Messenger) SetMembers(members []lagoonstile.Member, inCell func(lagoonstile.InstanceID) bool) {
	next := make(map[netip.AddrPort]lagoonstile.InstanceID, len(members))
	addresses := make(map[lagoonstile.InstanceID]netip.AddrPort, len(members))
	var cell, near []netip.AddrPort
	self := m.source.Self()
	for _, member := range members {
		address, err := netip.ParseAddrPort(member.PeerAddress)
		if err != nil {
			m.log.Warn("member-without-address", "peer", member.ID, "cause", err)
			continue
		}
		next[address] = member.ID
		addresses[member.ID] = address
		if inCell(member.ID) {
			cell = append(cell, address)
			if member.FailureDomain == self.FailureDomain {
				near = append(near, address)
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members, m.addresses, m.cell, m.near = next, addresses, cell, near
}

// Sent returns the number of datagrams sent and their total size in bytes.
func (m *Messenger) Sent() (datagrams, bytes int64) {
	return m.sentDatagrams.Load(), m.sentBytes.Load()
}

// UnknownSenders returns the number of datagrams received from addresses that
// belong to no member.
func (m *Messenger) UnknownSenders() int64 { return m.unknownSenders.Load() }

// SendHeartbeats sends a heartbeat to the cell every HeartbeatInterval, and a roster
// with every rosterBeats-th, until the context ends.
func (m *Messenger) SendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for beat := 1; ; beat++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.Broadcast(m.source.Reports(now.Add(-reportRepeatTime)))
			if beat%rosterBeats == 0 {
				m.sendRoster()
			}
		}
	}
}

// sendRoster sends a roster to some members.
func (m *Messenger) sendRoster() {
	roster, ids := m.source.Roster()
	if len(ids) == 0 {
		return
	}
	digest := m.source.LocalDigest()
	digest.Roster = roster
	m.mu.Lock()
	var to []netip.AddrPort
	for _, id := range ids {
		if address, ok := m.addresses[id]; ok {
			to = append(to, address)
		}
	}
	m.mu.Unlock()
	m.send(digest, to)
}

// BroadcastToAll sends a digest without reports to all members immediately.
func (m *Messenger) BroadcastToAll() {
	m.mu.Lock()
	to := make([]netip.AddrPort, 0, len(m.members))
	for address := range m.members {
		to = append(to, address)
	}
	m.mu.Unlock()
	m.send(m.source.LocalDigest(), to)
}

// Broadcast sends the reports to the cell immediately, in as many datagrams as
// needed. Without reports it sends one datagram. Reports that are only for the nearest
// peers go to the members of the cell in this instance's failure domain.
func (m *Messenger) Broadcast(reports []steerer.Report) {
	digest := m.source.LocalDigest()
	onlyNear := len(reports) > 0 && !slices.ContainsFunc(reports, func(r steerer.Report) bool { return !r.Near })
	for {
		n := min(len(reports), maxReportsPerDatagram)
		digest.Reports = reports[:n]
		reports = reports[n:]
		m.mu.Lock()
		to := m.cell
		if onlyNear {
			to = m.near
		}
		m.mu.Unlock()
		m.send(digest, to)
		if len(reports) == 0 {
			return
		}
	}
}

// SendQuotaMessage sends a message to one member immediately. Nothing is sent if the
// member is unknown.
func (m *Messenger) SendQuotaMessage(to lagoonstile.InstanceID, message throttler.Message) {
	m.mu.Lock()
	address, known := m.addresses[to]
	m.mu.Unlock()
	if known {
		m.send(message, []netip.AddrPort{address})
	}
}

// send sends one digest or quota message to the given addresses.
func (m *Messenger) send(message any, to []netip.AddrPort) {
	data, err := encoder.Encode(message)
	if err != nil {
		m.log.Error("digest-not-encoded", "cause", err)
		return
	}
	for _, address := range to {
		// A send error is ignored: it has the same effect as a lost datagram.
		if _, err := m.socket.WriteToUDPAddrPort(data, address); err == nil {
			m.sentDatagrams.Add(1)
			m.sentBytes.Add(int64(len(data)))
		}
	}
}

// readLoop receives datagrams until the socket is closed.
func (m *Messenger) readLoop() {
	buffer := make([]byte, maxDatagramBytes)
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
			m.unknownSenders.Add(1)
			continue
		}
		if err := m.receive(id, buffer[:n]); err != nil {
			m.log.Warn("digest-refused", "from", from, "peer", id, "cause", err)
		}
	}
}

// receive decodes a datagram of a member and passes its content to the receiver.
func (m *Messenger) receive(from lagoonstile.InstanceID, datagram []byte) error {
	if isQuotaMessage(datagram) {
		var message throttler.Message
		if err := encoder.Decode(datagram, &message); err != nil {
			return err
		}
		m.receiver.ReceiveQuotaMessage(from, message)
		return nil
	}
	var digest Digest
	if err := encoder.Decode(datagram, &digest); err != nil {
		return err
	}
	m.receiver.ReceiveDigest(from, digest)
	return nil
}
