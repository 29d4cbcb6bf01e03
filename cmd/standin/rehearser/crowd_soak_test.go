package rehearser_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"lagoonstile/cmd/standin/observer"
)

// Limits of a process beside a crowd.
const (
	crowdMemoryBytes = 96_000_000
	crowdDescriptors = 4100
	usageInterval    = 50 * time.Millisecond
)

// soakCrowd returns the number of clients of the crowd of each process.
func soakCrowd(t *testing.T) int {
	t.Helper()
	text := os.Getenv("LAGOONSTILE_SOAK_CROWD")
	if text == "" {
		return 0
	}
	clients, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return clients
}

// crowdSends are what clients of a crowd send before they stop, without reading anything.
var crowdSends = []string{
	"POST /order/7 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999),
	"POST /order/7 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 50_000),
	"GET / HTTP/1.1\r\nHost: shop.example\r\n" + strings.Repeat("X-Long: value\r\n", 20_000),
	"GET /look/7 HTTP/1.1\r\nHost: shop.example\r\nX-",
	strings.Repeat("\r\n", 50_000),
	"",
}

// runCrowd connects crowds to processes at random until the soak ends. Each connection
// stays open for some seconds.
func (s *processSoak) runCrowd(random *rand.Rand, clients int, stop <-chan struct{}) {
	for {
		p := s.processes[random.IntN(len(s.processes))]
		var conns []net.Conn
		for range clients {
			conn, err := net.DialTimeout("tcp", p.settings.ClientAddress, time.Second)
			if err != nil {
				break // It may be stopped.
			}
			conns = append(conns, conn)
			text := crowdSends[random.IntN(len(crowdSends))]
			_ = conn.SetWriteDeadline(time.Now().Add(4 * time.Second))
			go func() { _, _ = io.WriteString(conn, text) }() // It may be closed.
		}
		pause := time.Duration(500+random.IntN(3000)) * time.Millisecond
		ended := false
		select {
		case <-stop:
			ended = true
		case <-time.After(pause):
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
		if ended {
			return
		}
	}
}

// watchUsage checks that the runs of a process stay within their limits.
func (s *processSoak) watchUsage(p *process, stop <-chan struct{}) {
	var peak, peakUnread int64
	var peakDescriptors int
	defer func() {
		usage := fmt.Sprintf("%s used %d MB, %d MB of it not read, and %d descriptors", p.settings.Instance, peak/1_000_000, peakUnread/1_000_000, peakDescriptors)
		s.t.Log(usage)
		if peak > crowdMemoryBytes || peakDescriptors > crowdDescriptors {
			s.t.Error(usage)
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(usageInterval):
		}
		p.mu.Lock()
		run := p.current
		p.mu.Unlock()
		if run == nil {
			continue
		}
		pid := run.command.Process.Pid
		descriptors, unread := observer.Sockets(pid)
		peak = max(peak, observer.Memory(pid, "VmRSS")+unread)
		peakUnread, peakDescriptors = max(peakUnread, unread), max(peakDescriptors, descriptors)
	}
}
