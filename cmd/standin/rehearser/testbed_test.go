package rehearser_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/platform"
	"lagoonstile/retrier"
)

// testbed holds a store, servers of two services, and instances.
type testbed struct {
	t            testing.TB
	store        *emulator.KeyedStore
	runs         *emulator.RunCounter
	backends     map[string]*emulator.Backend
	instances    []*instance
	client       *http.Client
	requestCount atomic.Int64
	// log receives the logs of all instances, if it is not nil.
	log io.Writer
	// number is unique to the testbed and part of its instances' IP addresses,
	// so that tests that run in parallel use different addresses.
	number int64
}

// testbedCount counts the testbeds of all tests, which run in parallel.
var testbedCount atomic.Int64

// instance holds a running instance and its settings, which are needed to restart
// it. running is nil while the instance is stopped.
type instance struct {
	settings platform.Settings
	running  *platform.Instance
}

// config returns a configuration of two services on one host. edit holds pairs of
// an old string and its replacement, which are applied to the configuration.
func config(version int, edit ...string) []byte {
	text := fmt.Sprintf(`{"version":"%08x","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15},
	"listeners":[{"host":"shop.example","policies":[
	{"name":"look","kind":"safe","slo_s":2,"priority":1,"match":{"path_prefix":"/look/"},"action":{"service":"stock","timeout_s":3,"max_attempts":3}},
	{"name":"order","kind":"unsafe","slo_s":4,"priority":2,"match":{"path_prefix":"/order/"},"action":{"service":"orders","timeout_s":2,"max_attempts":2}}]}],
	"upstreams":[{"name":"stock","health_path":"/healthz","max_conns":330},{"name":"orders","health_path":"/healthz","max_conns":330}]}`, version)
	return []byte(strings.NewReplacer(edit...).Replace(text))
}

// newTestbed starts a store, six servers and the given number of instances, and
// waits until the instances are ready. Each instance has its own IP address.
func newTestbed(t testing.TB, instances int) *testbed {
	t.Helper()
	return newTestbedOn(t, instances, nil)
}

// newTestbedOn is newTestbed with instances that reach each other through a network,
// unless it is nil.
func newTestbedOn(t testing.TB, instances int, network *emulator.Network) *testbed {
	t.Helper()
	return newTestbedLogging(t, instances, network, nil)
}

// newTestbedLogging is newTestbedOn with instances that write their logs to log, unless
// it is nil.
func newTestbedLogging(t testing.TB, instances int, network *emulator.Network, log io.Writer) *testbed {
	t.Helper()
	tb := &testbed{t: t, runs: &emulator.RunCounter{}, backends: make(map[string]*emulator.Backend), log: log, number: testbedCount.Add(1)}
	tb.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	var err error
	if tb.store, err = emulator.StartKeyedStore("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tb.store.Stop)
	if network != nil {
		tb.store.OnAppend = network.JoinMember
	}
	tb.store.Put("keyed.op", "config", config(1))
	for n := range 3 {
		tb.startBackend(fmt.Sprintf("stock-%d", n), "stock")
		tb.startBackend(fmt.Sprintf("orders-%d", n), "orders")
	}
	for n := range instances {
		tb.instances = append(tb.instances, &instance{settings: tb.settings(n)})
		tb.start(n)
	}
	for n := range instances {
		tb.waitFor("an instance to be ready", func() bool {
			return tb.get(tb.instances[n].settings.ReadinessAddress, "/lagoonstile/readyz") == http.StatusOK
		})
	}
	tb.waitFor("all instances to be listed in the directory", tb.listsAll)
	return tb
}

// listsAll reports whether the first three instances, which are in different failure
// domains, list all instances of their own one.
func (tb *testbed) listsAll() bool {
	listed := 0
	for n := range min(len(tb.instances), 3) {
		listed += len(tb.resolve(n, fmt.Sprintf("zone-%d", n)))
	}
	return listed == len(tb.instances)
}

// settings returns the settings of the n-th instance, with its own IP address and
// ports. Test processes that run at the same time use different addresses, too.
func (tb *testbed) settings(n int) platform.Settings {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, tb.number%250, n+1)
	ports := freePorts(tb.t, ip, 4)
	address := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[n]) }
	return platform.Settings{
		Instance: lagoonstile.InstanceID(fmt.Sprintf("edge-%d", n)), FailureDomain: lagoonstile.FailureDomain(fmt.Sprintf("zone-%d", n%3)),
		IP: ip, ClientAddress: address(0), ReadinessAddress: address(1), DirectoryAddress: address(2), PeerPort: ports[3],
		StoreAddress: tb.store.Address(), FleetStart: true, MaxAddressTTL: 5 * time.Second, Grace: 6 * time.Second,
		RetryBudget: retrier.FleetBudget{Ratio: 0.2, Slack: 60, Span: 10 * time.Second},
	}
}

// start starts the n-th instance, which is stopped when the test ends.
func (tb *testbed) start(n int) {
	tb.t.Helper()
	running, err := startInstance(tb.instances[n].settings, slog.New(slog.NewTextHandler(tb.openLog(n), nil)))
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.instances[n].running = running
	tb.t.Cleanup(func() { tb.stop(n) })
}

// openLog opens the file to which the n-th instance appends its log, in the directory
// that LAGOONSTILE_TEST_LOGS names. Without it, the log is discarded.
func (tb *testbed) openLog(n int) io.Writer {
	if tb.log != nil {
		return tb.log
	}
	dir := os.Getenv("LAGOONSTILE_TEST_LOGS")
	if dir == "" {
		return io.Discard
	}
	name := strings.ReplaceAll(tb.t.Name(), "/", "-") + "-" + string(tb.instances[n].settings.Instance) + ".log"
	file, err := os.OpenFile(filepath.Join(dir, name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.t.Cleanup(func() { _ = file.Close() })
	return file
}

// stop stops the n-th instance without a graceful shutdown, if it is running.
func (tb *testbed) stop(n int) {
	if running := tb.instances[n].running; running != nil {
		tb.instances[n].running = nil
		running.Stop()
	}
}

// startBackend starts a server and registers it in the store.
func (tb *testbed) startBackend(id, service string) *emulator.Backend {
	tb.t.Helper()
	b, err := emulator.StartBackend(tb.store, tb.runs, id, service, "zone-0", "127.0.0.1:0", 20*time.Millisecond)
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.t.Cleanup(b.Stop)
	tb.backends[id] = b
	return b
}

// waitFor polls the condition until it is true, and fails the test after 20 s.
func (tb *testbed) waitFor(what string, condition func() bool) {
	tb.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	tb.t.Fatalf("timed out after 20 s waiting for %s", what)
}

// get sends a GET request and returns the status, or 0 if there is no answer.
func (tb *testbed) get(address, path string) int {
	res, err := tb.client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}

// resolve returns the addresses to which the instance directs clients of a zone,
// or nil if there is no valid answer.
func (tb *testbed) resolve(n int, zone string) []string {
	res, err := tb.client.Get("http://" + tb.instances[n].settings.DirectoryAddress + "/lagoonstile/resolve?name=shop.example&zone=" + zone)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return nil
	}
	return answer.Addresses
}

// answer is the answer to one request as the client received it.
type answer struct {
	id, body, retryAfter string
	// status is 0 if the client did not receive a complete answer.
	status int
	signed bool
	took   time.Duration
}

// send sends one request to the n-th instance and checks the answer.
func (tb *testbed) send(n int, method, path string) answer {
	return tb.sendToAddress(tb.instances[n].settings.ClientAddress, method, path)
}

// sendToAddress sends one request to an instance by its IP:port and checks the
// answer.
func (tb *testbed) sendToAddress(address, method, path string) answer {
	return tb.sendWithKeys(address, method, path, nil)
}

// sendWithKeys is sendToAddress with the given keys of a client, each in a header of
// its own.
func (tb *testbed) sendWithKeys(address, method, path string, keys []string) answer {
	a := answer{id: fmt.Sprintf("request-%d", tb.requestCount.Add(1))}
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader("body"))
	if err != nil {
		tb.t.Error(err)
		return a
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", "6000")
	for _, key := range keys {
		req.Header.Add("X-Api-Key", key)
	}
	res, err := tb.client.Do(req)
	if err != nil {
		a.body = err.Error()
		return a
	}
	defer func() { _ = res.Body.Close() }()
	body, err := readBody(res.Body)
	if err != nil {
		a.body = err.Error()
		return a
	}
	a.status, a.body = res.StatusCode, body
	a.retryAfter = res.Header.Get("Retry-After")
	a.signed = res.Header.Get("X-Server-Signature") != ""
	a.took = time.Since(began)
	tb.checkAnswer(method, a)
	return a
}

// maxKeptBytes is how much of a body is kept, which is more than any server sends in a
// whole answer.
const maxKeptBytes = 64 << 10

// readBody reads a body to its end and returns the start of it.
func readBody(body io.Reader) (string, error) {
	start, err := io.ReadAll(io.LimitReader(body, maxKeptBytes))
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, body)
	return string(start), err
}

// checkAnswer checks that an answer agrees with what the servers ran: a success is
// signed and belongs to its request, an order runs at most once, and an order
// whose status says that it did not run has not run.
func (tb *testbed) checkAnswer(method string, a answer) {
	tb.t.Helper()
	runs := tb.runs.Count(a.id)
	if a.status == http.StatusOK && (!a.signed || a.body != "answer to "+a.id) {
		tb.t.Errorf("%s: answered 200 with body %q, signed %v", a.id, a.body, a.signed)
	}
	if method == http.MethodPost && runs > 1 {
		tb.t.Errorf("%s: order ran %d times, want at most once", a.id, runs)
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if method == http.MethodPost && runs > 0 {
			tb.t.Errorf("%s: order answered with status %d, but it ran", a.id, a.status)
		}
	}
}

// startClients starts clients that each send requests one after the other, with
// pauses of 10 ms, to the addresses that the address function returns. It returns a
// function that stops the clients and returns all answers.
func (tb *testbed) startClients(clients int, method, path string, address func() string) func() []answer {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				a := tb.sendToAddress(address(), method, path)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		}()
	}
	return func() []answer {
		close(stop)
		wg.Wait()
		return answers
	}
}

// countStatus returns how many answers have the given status.
func countStatus(answers []answer, status int) int {
	n := 0
	for _, a := range answers {
		if a.status == status {
			n++
		}
	}
	return n
}
