package rehearser_test

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	"lagoonstile/platform"
)

// Ports of instances are below those that the system gives to outgoing connections,
// which would take them before the instance listens.
const firstPort, endPort = 10_000, 30_000

// freePorts returns n ports of ip that are free for TCP at the moment. It assumes
// that they are free for UDP too.
func freePorts(t testing.TB, ip string, n int) []int {
	t.Helper()
	var ports []int
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
	return ports
}

// Between its fork and its exec, a process that another test starts holds copies of all
// sockets. The port of one that was closed meanwhile, by freePorts or by an instance that
// stopped, is in use until then, which takes milliseconds.
const (
	maxForkTime      = 2 * time.Second
	forkPollInterval = 5 * time.Millisecond
)

// startInstance starts an instance once its ports are free, within maxForkTime.
func startInstance(settings platform.Settings, log *slog.Logger) (*platform.Instance, error) {
	for end := time.Now().Add(maxForkTime); ; time.Sleep(forkPollInterval) {
		running, err := platform.Start(settings, log)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return running, err
		}
	}
}

// TestInstancesStartBesideForks starts instances on ports that were found to be free, and
// restarts them, while processes are started all the time.
func TestInstancesStartBesideForks(t *testing.T) {
	const instances, restarts = 10, 40
	defer startForks(t)()
	tb := newTestbed(t, instances)
	for range restarts {
		for n := range instances {
			tb.stop(n)
			tb.start(n)
		}
	}
}

// startForks starts processes one after the other until stop is called.
func startForks(t *testing.T) (stop func()) {
	t.Helper()
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
