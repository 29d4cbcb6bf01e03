package rehearser_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
)

// Ports of instances are below those that the system gives to outgoing connections,
// which would take them before the instance listens.
const firstPort, endPort = 10_000, 30_000

// freePorts returns n ports of ip that are free for TCP at the moment. It assumes
// that they are free for UDP too.
func freePorts(t testing.TB, ip string, n int) []int {
	t.Helper()
	var ports []int
	withoutForks(func() {
		for tries := 0; len(ports) < n; tries++ {
			port := firstPort + rand.IntN(endPort-firstPort)
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil && tries < 100 {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			ports = append(ports, port)
		}
	})
	return ports
}

// withoutForks calls release, which closes listeners whose ports are to be used again,
// while no test starts a process. Between its fork and its exec, a new process holds
// copies of all sockets, which would keep the ports in use.
func withoutForks(release func()) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	release()
}

// TestMain starts a first process before the tests. Package os then tries once whether
// processes can be started with a descriptor, and does not hold syscall.ForkLock for that.
func TestMain(m *testing.M) {
	if err := exec.Command("true").Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestPortsAreFreeBesideForks listens on ports that were found to be free, and restarts
// an instance, while processes are started all the time. No port may be in use.
func TestPortsAreFreeBesideForks(t *testing.T) {
	const draws, restarts = 500, 50
	tb := newTestbed(t, 1)
	stopForks := startForks(t)
	defer stopForks()
	for range draws {
		ip := fmt.Sprintf("127.0.%d.1", 1+rand.IntN(250))
		for _, port := range freePorts(t, ip, 4) {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				t.Errorf("listen on a free port: %v", err)
				continue
			}
			defer func() { _ = l.Close() }()
		}
	}
	for range restarts {
		tb.stop(0)
		tb.start(0)
	}
}

// startForks starts processes one after the other until the returned function is called.
func startForks(t *testing.T) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			default:
			}
			if err := exec.Command("true").Run(); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}
