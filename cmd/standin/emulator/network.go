package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Sizes and times of a Network.
const (
	// windowBytes is how much of one TCP connection is in the queue of a link at a
	// time, as if its receiver offered a window of this size.
	windowBytes = 64 << 10
	// maxDatagramDelay is the delay of a link from which on it drops datagrams.
	maxDatagramDelay = 200 * time.Millisecond
	// datagramBytes is the size of a buffer for one datagram.
	datagramBytes = 64 << 10
)

// Network carries the traffic between machines over links of limited bandwidth. A
// machine is identified by its IP address, and has one link in each direction. It
// is reached at the address that Join returns; its datagrams come from there, too.
type Network struct {
	// bytesPerSecond is the bandwidth of each link.
	bytesPerSecond float64

	mu      sync.Mutex
	out, in map[netip.Addr]*link
	// relays holds the relay of each address that has joined, by that address.
	relays map[string]*relay
}

// relay forwards what arrives at its addresses to one machine.
type relay struct {
	network *Network
	target  netip.AddrPort
	tcp     net.Listener
	udp     *net.UDPConn
}

// NewNetwork returns a network of links with the given bandwidth.
func NewNetwork(bytesPerSecond float64) *Network {
	return &Network{
		bytesPerSecond: bytesPerSecond,
		out:            make(map[netip.Addr]*link), in: make(map[netip.Addr]*link),
		relays: make(map[string]*relay),
	}
}

// Join returns an address at which the machine at target (IP:port) is reached through
// the network. Joining again returns the same address.
func (n *Network) Join(target string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.relays[target]; r != nil {
		return r.tcp.Addr().String(), nil
	}
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return "", fmt.Errorf("join network: %w", err)
	}
	r := &relay{network: n, target: address}
	if r.tcp, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return "", fmt.Errorf("join network: %w", err)
	}
	if r.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.tcp.Addr().(*net.TCPAddr).AddrPort())); err != nil {
		_ = r.tcp.Close()
		return "", fmt.Errorf("join network: %w", err)
	}
	n.relays[target] = r
	go r.acceptConnections()
	go r.forwardDatagrams()
	return r.tcp.Addr().String(), nil
}

// JoinMember is a KeyedStore.OnAppend function. It replaces the address of an
// announced instance by the one at which the network reaches it.
func (n *Network) JoinMember(topic, _ string, value []byte) []byte {
	const before = `"peers":"`
	at := bytes.Index(value, []byte(before))
	if topic != "keyed.status" || at < 0 {
		return value
	}
	address, _, _ := bytes.Cut(value[at+len(before):], []byte(`"`))
	joined, err := n.Join(string(address))
	if err != nil {
		return value
	}
	return bytes.Replace(value, address, []byte(joined), 1)
}

// Close closes all relays. Connections through them end when either side closes.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		_ = r.tcp.Close()
		_ = r.udp.Close()
	}
}

// links returns the links that bytes from one machine to another pass.
func (n *Network) links(from, to netip.Addr) [2]*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return [2]*link{n.link(n.out, from), n.link(n.in, to)}
}

// link returns the link of a machine and creates it if needed. The caller must hold
// n.mu.
func (n *Network) link(of map[netip.Addr]*link, machine netip.Addr) *link {
	if of[machine] == nil {
		of[machine] = &link{bytesPerSecond: n.bytesPerSecond}
	}
	return of[machine]
}

// acceptConnections forwards TCP connections until the relay is closed.
func (r *relay) acceptConnections() {
	for {
		from, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.forwardConnection(from)
	}
}

// forwardConnection copies the bytes of a connection in both directions.
func (r *relay) forwardConnection(from net.Conn) {
	to, err := net.Dial("tcp4", r.target.String())
	if err != nil {
		_ = from.Close()
		return
	}
	machine := from.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	go copyThrough(to, from, r.network.links(machine, r.target.Addr()))
	copyThrough(from, to, r.network.links(r.target.Addr(), machine))
}

// copyThrough copies bytes through links until either side closes its connection,
// and closes both.
func copyThrough(to io.WriteCloser, from io.ReadCloser, links [2]*link) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, windowBytes)
	for {
		n, err := from.Read(buffer)
		for _, l := range links {
			time.Sleep(l.reserve(n))
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// forwardDatagrams forwards datagrams until the relay is closed. Each one is sent from
// the relay of its sender, by which the receiver knows the sender.
func (r *relay) forwardDatagrams() {
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		r.network.mu.Lock()
		sender := r.network.relays[from.String()]
		r.network.mu.Unlock()
		if sender == nil {
			continue
		}
		delay := time.Duration(0)
		for _, l := range r.network.links(from.Addr(), r.target.Addr()) {
			if l.delay() > maxDatagramDelay {
				delay = -1
				break
			}
			delay += l.reserve(n)
		}
		if delay >= 0 {
			datagram := bytes.Clone(buffer[:n])
			time.AfterFunc(delay, func() { _, _ = sender.udp.WriteToUDPAddrPort(datagram, r.target) })
		}
	}
}

// link is one direction of the connection of a machine to the network.
type link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when the last byte in the queue will have been sent.
	free time.Time
}

// reserve queues n bytes and returns the time until the last of them has been sent.
func (l *link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.free.Sub(now)
}

// delay returns the time until the queue is empty.
func (l *link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.free))
}
