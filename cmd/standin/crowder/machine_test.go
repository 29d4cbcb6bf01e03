package crowder_test

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The machine of the tests in this file has little memory for each descriptor, as small
// machines do. LAGOONSTILE_CROWD_MACHINE ("memory in MB:descriptors") sets another one,
// and LAGOONSTILE_CROWD_TIMES multiplies the number of clients.
const (
	smallMemoryMB      = 96
	smallDescriptors   = 4100
	defaultCrowdTimes  = 1
	crowdClients       = 400
	crowdBodyBytes     = 1 << 20
	fitsNoBudgetBytes  = 1 << 30
	readinessAskedPath = "/lagoonstile/readyz"
	resolveAskedPath   = "/lagoonstile/resolve?name=shop.example&region=a&zone=zone-1"
)

// machine returns the setup of the tests in this file.
func machine(t *testing.T) setup {
	t.Helper()
	s := setup{memoryMB: smallMemoryMB, descriptors: smallDescriptors}
	if text := os.Getenv("LAGOONSTILE_CROWD_MACHINE"); text != "" {
		if _, err := fmt.Sscanf(text, "%d:%d", &s.memoryMB, &s.descriptors); err != nil {
			t.Fatalf("LAGOONSTILE_CROWD_MACHINE %q: %v", text, err)
		}
	}
	return s
}

// crowdSize returns the number of clients of a crowd.
func crowdSize(t *testing.T, clients int) int {
	t.Helper()
	times := defaultCrowdTimes
	if text := os.Getenv("LAGOONSTILE_CROWD_TIMES"); text != "" {
		if _, err := fmt.Sscanf(text, "%d", &times); err != nil {
			t.Fatalf("LAGOONSTILE_CROWD_TIMES %q: %v", text, err)
		}
	}
	return times * clients
}

// sendUnfinishedBody writes a body of legal size up to one byte short of its end.
func sendUnfinishedBody(w io.Writer) error {
	if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), 1); err != nil {
		return err
	}
	return sendZeros(w, crowdBodyBytes-1)
}

// sendUnfinishedChunks writes a body in chunks of one byte that has no last chunk.
func sendUnfinishedChunks(w io.Writer) error {
	const perPiece = 8 << 10
	if err := sendText(w, order("Transfer-Encoding: chunked"), 1); err != nil {
		return err
	}
	return sendText(w, strings.Repeat("1\r\nx\r\n", perPiece), crowdBodyBytes/perPiece)
}

// alternately returns a function that calls the functions in turn.
func alternately(sends ...func(w io.Writer) error) func(w io.Writer) error {
	turns := make(chan int, 1)
	turns <- 0
	return func(w io.Writer) error {
		turn := <-turns
		turns <- turn + 1
		return sends[turn%len(sends)](w)
	}
}

// bodies connects clients half of which stop one byte short of the end of a body, while
// the others send chunks of one byte.
func (i *instance) bodies() {
	i.t.Helper()
	i.crowd(crowdSize(i.t, crowdClients), alternately(sendUnfinishedBody, sendUnfinishedChunks))
}

// TestUnfinishedBodiesOfManyClients has many clients send bodies of legal size that stop
// just short of their end.
func TestUnfinishedBodiesOfManyClients(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	i.bodies()
	i.check()
}

// TestPipelinedChunksOfManyClients has many clients send small bodies in chunks, one
// behind the other, and read no answer.
func TestPipelinedChunksOfManyClients(t *testing.T) {
	const requests, chunks = 400, 200
	i := startInstanceWith(t, machine(t))
	one := order("Transfer-Encoding: chunked") + strings.Repeat("4\r\nabcd\r\n", chunks) + "0\r\n\r\n"
	i.crowd(crowdSize(t, crowdClients), func(w io.Writer) error { return sendText(w, one, requests) })
	i.check()
}

// TestUnreadAnswersOfManyClients has many clients ask for large answers and read
// nothing.
func TestUnreadAnswersOfManyClients(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	i.crowd(crowdSize(t, crowdClients), func(w io.Writer) error {
		return sendText(w, head("GET", fmt.Sprintf("%s1?%d", pathDownload, answerBytes), "X-Request-Id: crowd"), 1)
	})
	time.Sleep(2 * time.Second) // The answers come in this time; nothing is checked by it.
	i.check()
}

// TestSlowPiecesOfManyClients has many clients send bodies a piece at a time, so that
// all come near their end at the same time.
func TestSlowPiecesOfManyClients(t *testing.T) {
	const pieces = 16
	i := startInstanceWith(t, machine(t))
	i.crowd(crowdSize(t, crowdClients), func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), 1); err != nil {
			return err
		}
		for n := range pieces {
			size := crowdBodyBytes / pieces
			if n == pieces-1 {
				size--
			}
			if err := sendZeros(w, size); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	})
	i.check()
}

// TestBodiesWhileServersStandStill has many clients send bodies while the servers answer
// nothing. Half of the bodies are complete.
func TestBodiesWhileServersStandStill(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	i.server.stall()
	whole := func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, crowdBodyBytes)
	}
	i.crowd(crowdSize(t, crowdClients), alternately(whole, sendUnfinishedBody))
	time.Sleep(2 * time.Second) // The servers stand still in this time; nothing is checked by it.
	i.server.resume()
	i.check()
}

// TestBodiesWhileStoreStandsStill has many clients send bodies while the store does not
// answer.
func TestBodiesWhileStoreStandsStill(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	i.store.SetFaults(storeSilent)
	i.bodies()
	i.check()
	i.store.SetFaults(storeHealthy)
	i.check()
}

// TestBodiesBeforeFirstConfiguration has many clients send bodies to an instance that
// has no configuration yet.
func TestBodiesBeforeFirstConfiguration(t *testing.T) {
	with := machine(t)
	with.unconfigured = true
	i := startInstanceWith(t, with)
	i.awaitListening()
	i.bodies()
	i.store.Put("keyed.op", "config", configuration(1, maxBodyBytes))
	i.check()
}

// TestBodiesWhileLimitsChange changes the limit of bodies several times beside a crowd.
// The last one is above the memory of the machine.
func TestBodiesWhileLimitsChange(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	for version, limit := range []int{crowdBodyBytes / 2, 2 * crowdBodyBytes, fitsNoBudgetBytes} {
		i.store.Put("keyed.op", "config", configuration(version+2, limit))
		i.bodies()
		i.check()
	}
	answer := exchange(i.address, time.Minute, func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", fitsNoBudgetBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, crowdBodyBytes)
	})
	if strings.HasPrefix(answer, "2") {
		t.Errorf("a body above the memory of the machine got %q, want a refusal", answer)
	}
	i.check()
}

// TestStopBesideCrowd stops the process gracefully while a crowd stays connected. It must
// end by itself.
func TestStopBesideCrowd(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	i.bodies()
	i.check()
	i.terminate()
}

// TestRestartBesideCrowd kills the process beside a crowd and starts it again. The same
// clients come again at once.
func TestRestartBesideCrowd(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	for range 2 {
		i.bodies()
		_ = i.command.Process.Kill()
		<-i.exited
		i.run()
	}
	i.awaitListening()
	i.bodies()
	i.check()
}

// TestCrowdsAtOtherListeners has crowds send bodies and heads without end to each of the
// listeners that are not for requests. Requests at all listeners must be answered
// afterwards.
func TestCrowdsAtOtherListeners(t *testing.T) {
	i := startInstanceWith(t, machine(t))
	listeners := []struct{ name, address, path string }{
		{"readiness", i.readiness, readinessAskedPath},
		{"directory", i.directory, resolveAskedPath},
		{"peers", i.peers, "/metrics"},
	}
	lines := strings.Repeat("X-Header: value\r\n", pieceBytes/17)
	endlessHead := func(w io.Writer) error {
		if err := sendText(w, "GET / HTTP/1.1\r\nHost: a\r\n", 1); err != nil {
			return err
		}
		return sendText(w, lines, 2*crowdBodyBytes/pieceBytes)
	}
	for _, l := range listeners {
		i.crowdAt(l.address, crowdSize(t, crowdClients), alternately(sendUnfinishedBody, sendUnfinishedChunks, endlessHead))
		i.check()
	}
	for _, l := range listeners {
		i.awaitOK(l.name, l.address, l.path)
	}
}

// TestLargestBodiesOfSmallMachine sends the largest body within the limits, alone, with a
// length and in chunks, to an instance that may have many descriptors. Each must be
// served.
func TestLargestBodiesOfSmallMachine(t *testing.T) {
	checkLargestBodies(t, setup{memoryMB: 184, descriptors: smallDescriptors, maxBodyBytes: 64 << 20})
}

// awaitListening waits until the process accepts connections of clients.
func (i *instance) awaitListening() {
	i.t.Helper()
	i.await("no answer of any kind", func() (bool, string) {
		answer := i.ordinary()
		return len(answer) > 3 && answer[3] == ' ', answer
	})
}

// awaitOK waits until a request at a listener gets the status 200.
func (i *instance) awaitOK(name, address, path string) {
	i.t.Helper()
	i.await("no answer of "+name, func() (bool, string) {
		answer := exchange(address, 5*time.Second, func(w io.Writer) error { return sendText(w, head("GET", path), 1) })
		return strings.HasPrefix(answer, "200"), answer
	})
}

// terminate sends SIGTERM and waits until the process has ended.
func (i *instance) terminate() {
	i.t.Helper()
	started := time.Now()
	if err := i.command.Process.Signal(syscall.SIGTERM); err != nil {
		i.t.Fatal(err)
	}
	select {
	case <-i.exited:
		i.t.Logf("ended %v after the signal", time.Since(started).Round(time.Millisecond))
	case <-time.After(answerWithin):
		i.t.Fatalf("the process has not ended within %v after SIGTERM\n%s", answerWithin, i.output.tail())
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.peakBytes > i.memoryMB<<20 {
		i.t.Errorf("the process used %d MB, its limit is %d MB", i.peakBytes>>20, i.memoryMB)
	}
}
