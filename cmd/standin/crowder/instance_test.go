package crowder_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/cmd/standin/observer"
	"lagoonstile/platform"
)

// Limits of the process in the settings, which are also the bounds of the tests, and
// those for clients in the configuration.
const (
	memoryMB       = 128
	maxDescriptors = 400
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 16 << 20
)

// setup is how an instance is started. The zero value of a field means its constant
// above.
type setup struct {
	memoryMB     int64
	descriptors  int
	maxBodyBytes int
	// unconfigured is set if the store has no configuration at the start.
	unconfigured bool
	// storeAddress is the address of the store in the settings, if not its own.
	storeAddress string
}

// withDefaults returns the setup with the defaults in place of zero values.
func (s setup) withDefaults() setup {
	if s.memoryMB == 0 {
		s.memoryMB = memoryMB
	}
	if s.descriptors == 0 {
		s.descriptors = maxDescriptors
	}
	if s.maxBodyBytes == 0 {
		s.maxBodyBytes = maxBodyBytes
	}
	return s
}

// Times of the tests. None of them is a bound of what the process does.
const (
	sampleInterval = 20 * time.Millisecond
	readyWithin    = 30 * time.Second
	// answerWithin is how long an ordinary request is repeated until it is answered.
	answerWithin = 60 * time.Second
	// serverWork is how long the server works on a request for pathOrder.
	serverWork = 500 * time.Millisecond
	// graceSeconds is the time that the process has to end after SIGTERM, in the settings.
	graceSeconds = 6
)

// Paths of the configuration. A request for pathDownload gets as many bytes as its
// query says.
const (
	pathLook     = "/look/"
	pathOrder    = "/order/"
	pathDownload = "/big/"
	// pathWide is answered by servers of its own.
	pathWide = "/wide/"
)

// instance is one instance of the product that runs as a process, with a store and a
// server of its own.
type instance struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{}
	output  lockedBuffer
	// address is the IP:port for clients. The others are those for readiness checks, for
	// clients that ask where to connect, and for peers.
	address, readiness, directory, peers string
	// operators is that for operators of the daemon.
	operators string
	// memoryMB and descriptors are the limits in the settings.
	memoryMB    int64
	descriptors int
	store       *emulator.KeyedStore
	server      *server
	// program starts the process, which reads its settings from file.
	program []string
	file    string

	mu sync.Mutex
	// peakBytes is the highest sum of memory and of bytes received and not read yet,
	// and peakDescriptors the highest number of descriptors, of all samples.
	peakBytes       int64
	peakDescriptors int
	// peakUnread is the highest number of bytes received and not read yet.
	peakUnread int64
}

// lockedBuffer keeps the last output of a process.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.data.Len() > 1<<20 {
		b.data.Reset()
	}
	return b.data.Write(p)
}

// tail returns the last bytes of the output.
func (b *lockedBuffer) tail() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.data.String()
	return text[max(0, len(text)-4000):]
}

// daemonDir is the directory of the program once it is built.
var daemonDir string

// TestMain removes the program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if daemonDir != "" {
		_ = os.RemoveAll(daemonDir)
	}
	os.Exit(code)
}

// daemon is the path of the program, built once.
var daemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowder")
	if err != nil {
		return "", err
	}
	daemonDir = dir
	binary := filepath.Join(dir, "lagoonstile")
	output, err := exec.Command("go", "build", "-o", binary, "lagoonstile/cmd/lagoonstile").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return binary, nil
})

// startInstance starts an instance and waits until it answers an ordinary request.
func startInstance(t *testing.T) *instance {
	t.Helper()
	return startInstanceWith(t, setup{})
}

// startInstanceWith is startInstance with another setup.
func startInstanceWith(t *testing.T, with setup) *instance {
	t.Helper()
	with = with.withDefaults()
	binary, err := daemon()
	if err != nil {
		t.Fatal(err)
	}
	store, err := emulator.StartKeyedStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Stop)
	if !with.unconfigured {
		store.Put("keyed.op", "config", configuration(1, with.maxBodyBytes))
	}
	if with.storeAddress == "" {
		with.storeAddress = store.Address()
	}
	ports := freePorts(t, 4)
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[n]) }
	i := &instance{
		t: t, memoryMB: with.memoryMB, descriptors: with.descriptors, store: store, program: []string{binary, "platform"},
		address: at(0), readiness: at(1), directory: at(2), peers: at(3),
	}
	i.server = startServer(t)
	i.server.register(t, store)
	i.writeSettings(map[string]any{
		"node": "edge-1", "ip": "127.0.0.1", "zone": "zone-1", "bootstrap": true,
		"listen":     map[string]string{"http": i.address, "readiness": i.readiness, "registry": i.directory},
		"port_range": []int{ports[3], ports[3]},
		"bounds":     map[string]any{"grace_s": graceSeconds, "ttl_max_s": 5, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 60},
		"limits":     map[string]any{"cpu_quota": 0.768, "cpu_speed": 1, "memory_mb": with.memoryMB, "max_fds": with.descriptors},
		"platform":   map[string]any{"address": with.storeAddress},
	})
	i.run()
	if !with.unconfigured {
		i.awaitAnswer()
	}
	return i
}

// writeSettings writes the settings file as JSON.
func (i *instance) writeSettings(settings map[string]any) {
	i.t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		i.t.Fatal(err)
	}
	i.file = filepath.Join(i.t.TempDir(), "settings.json")
	if err := os.WriteFile(i.file, data, 0o600); err != nil {
		i.t.Fatal(err)
	}
}

// run starts the process and watches it until it ends, at the latest with the test.
func (i *instance) run() {
	i.t.Helper()
	command, exited := exec.Command(i.program[0], i.program[1:]...), make(chan struct{})
	command.Env = append(os.Environ(), platform.EnvSettings+"="+i.file)
	command.Stdout, command.Stderr = &i.output, &i.output
	if err := command.Start(); err != nil {
		i.t.Fatal(err)
	}
	i.command, i.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	go i.watch(command.Process, exited)
	i.t.Cleanup(func() {
		_ = command.Process.Kill() // It may have ended.
		<-exited
	})
}

// watch takes samples of what a process uses until it ends. A process that is over
// its limit of memory is killed, as the platform does.
func (i *instance) watch(process *os.Process, exited <-chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(sampleInterval):
		}
		resident := observer.Memory(process.Pid, "VmRSS")
		descriptors, unread := observer.Sockets(process.Pid)
		used := resident + unread
		i.mu.Lock()
		i.peakBytes = max(i.peakBytes, used, observer.Memory(process.Pid, "VmHWM"))
		i.peakUnread = max(i.peakUnread, unread)
		i.peakDescriptors = max(i.peakDescriptors, descriptors)
		i.mu.Unlock()
		if used > i.memoryMB<<20 {
			_ = process.Kill()
		}
	}
}

// check checks that the process lives, that it stayed within its limits, and that it
// answers an ordinary request.
func (i *instance) check() {
	i.t.Helper()
	i.awaitAnswer()
	i.checkLimits()
}

// checkLimits checks that the process stayed within its limits.
func (i *instance) checkLimits() {
	i.t.Helper()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.t.Logf("peak: %d MB of %d MB, at most %d MB of it not read, %d descriptors of %d",
		i.peakBytes>>20, i.memoryMB, i.peakUnread>>20, i.peakDescriptors, i.descriptors)
	if i.peakBytes > i.memoryMB<<20 {
		i.t.Errorf("the process used %d MB, its limit is %d MB", i.peakBytes>>20, i.memoryMB)
	}
	if i.peakDescriptors > i.descriptors {
		i.t.Errorf("the process had %d descriptors, its limit is %d", i.peakDescriptors, i.descriptors)
	}
}

// awaitAnswer sends an ordinary request until it is answered with success.
func (i *instance) awaitAnswer() {
	i.t.Helper()
	i.await("no ordinary request was answered", func() (bool, string) {
		answer := i.ordinary()
		return answer == "200 ok", answer
	})
}

// await repeats a try until it succeeds, for at most answerWithin. The process must not
// end.
func (i *instance) await(failure string, try func() (ok bool, answer string)) {
	i.t.Helper()
	last := ""
	for end := time.Now().Add(answerWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-i.exited:
			i.mu.Lock()
			defer i.mu.Unlock()
			i.t.Fatalf("the process ended (%v) after a peak of %d MB of %d MB, at most %d MB of it not read, and %d descriptors\n%s",
				i.command.ProcessState, i.peakBytes>>20, i.memoryMB, i.peakUnread>>20, i.peakDescriptors, i.output.tail())
		default:
		}
		ok, answer := try()
		if ok {
			return
		}
		last = answer
	}
	i.t.Fatalf("%s within %v, the last answer was %q\n%s", failure, answerWithin, last, i.output.tail())
}

// ordinary sends one request on a connection of its own and returns the status and
// the body of the answer, or the error.
func (i *instance) ordinary() string {
	return exchange(i.address, 5*time.Second, func(w io.Writer) error {
		return sendText(w, head("GET", pathLook+"1", "X-Request-Id: ordinary"), 1)
	})
}

// exchange sends one request on a connection of its own to an address (IP:port) and
// returns the status and the body of the answer, or the error.
func exchange(address string, timeout time.Duration, send func(w io.Writer) error) string {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	_ = send(conn) // There may be an answer although the write failed.
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", res.StatusCode, body)
}

// head returns the head of a request.
func head(method, path string, headers ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: shop.example", "X-Deadline-Ms: 20000"}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// configuration returns a version of a configuration with a service for pathWide and one
// for all other paths.
func configuration(version, maxBodyBytes int) []byte {
	routes := []struct{ path, kind, service string }{
		{pathLook, "safe", "stock"}, {pathOrder, "unsafe", "stock"}, {pathDownload, "download", "stock"}, {pathWide, "unsafe", "wide"},
	}
	var policies []string
	for _, route := range routes {
		policies = append(policies, fmt.Sprintf(`{"name":%q,"kind":%q,"slo_s":10,"priority":1,"match":{"path_prefix":%q},
			"action":{"service":%q,"timeout_s":20,"max_attempts":2}}`, route.path, route.kind, route.path, route.service))
	}
	return fmt.Appendf(nil, `{"version":"%08x","limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_s":3,"idle_timeout_s":15},
		"listeners":[{"host":"shop.example","policies":[%s]}],"upstreams":[{"name":"stock","health_path":"/healthz","max_conns":400},{"name":"wide","health_path":"/healthz","max_conns":400}]}`,
		version, maxHeaderBytes, maxBodyBytes, strings.Join(policies, ","))
}

// zeros is a reader of zero bytes without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// freePorts returns ports that are free for TCP at the moment.
func freePorts(t *testing.T, count int) []int {
	t.Helper()
	var ports []int
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }() // Not before all are chosen.
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports
}
