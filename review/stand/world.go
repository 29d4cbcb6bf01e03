package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Names of a world's services, hosts and routes.
const (
	healthPath = "/healthz"
	host       = "portal.example"
	pathSafe   = "/stock/"
	pathUnsafe = "/order/"
	pathLarge  = "/files/"
)

// route is a route of a configuration.
type route struct {
	name, kind, prefix, service string
	timeoutS                    float64
}

var defaultRoutes = []route{
	{"r-stock", "safe", pathSafe, "stock", 3},
	{"r-order", "unsafe", pathUnsafe, "orders", 4},
	{"r-files", "download", pathLarge, "files", 6},
}

// world is a small deployment: a store, servers and instances on loopback addresses.
type world struct {
	dir   string
	store *store
	runs  *runs
	nodes []*node
	// record is the file record.txt.
	record   *os.File
	recordMu sync.Mutex
	started  time.Time
	version  int
	// zone is the zone of a node or server by its number.
	servers map[string][]*server
}

func zoneOf(n int) string { return "zone-" + strconv.Itoa(n%3) }

// newWorld starts a store and the given number of nodes, which are not started.
func newWorld(dir string, nodes int, bootstrap bool) (*world, error) {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	s, err := startStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: s, runs: &runs{}, record: record, started: time.Now(), servers: make(map[string][]*server)}
	w.runs.onRun = func(one run) { w.writeRecord("%s runs at %s, body of %d bytes", one.id, one.server, one.bytes) }
	for n := range nodes {
		one, err := newNode(dir, fmt.Sprintf("edge-%02d", n), zoneOf(n), fmt.Sprintf("127.0.1.%d", n+1), s.address(), bootstrap)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, one)
	}
	return w, nil
}

// close ends all processes.
func (w *world) close() {
	stopAll()
	_ = w.record.Close()
}

// note writes a line to record.txt and to standard output.
func (w *world) note(format string, args ...any) {
	fmt.Println(w.writeRecord(format, args...))
}

// writeRecord writes a line to record.txt and returns it.
func (w *world) writeRecord(format string, args ...any) string {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(w.record, line)
	return line
}

// addServers starts servers of a service.
func (w *world) addServers(service string, count int, work func(http.ResponseWriter, *http.Request, []byte)) error {
	for n := range count {
		v, err := startServer(w.store, w.runs, fmt.Sprintf("i-%s-%d", service, n), service, zoneOf(n), "127.0.0.1", work)
		if err != nil {
			return err
		}
		w.servers[service] = append(w.servers[service], v)
	}
	return nil
}

// configure writes a configuration as the operator does.
func (w *world) configure(routes []route) {
	w.version += 2
	var policies []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		services[r.service] = true
		policies = append(policies, map[string]any{
			"name": r.name, "kind": r.kind, "slo_s": 2, "priority": 1, "match": map[string]any{names.RoutePrefix: r.prefix},
			"action": map[string]any{"service": r.service, "timeout_s": r.timeoutS, "max_attempts": 2},
		})
	}
	var upstreams []map[string]any
	for service := range services {
		upstreams = append(upstreams, map[string]any{"name": service, "health_path": healthPath, "max_conns": 330, "protocol": "h1", "tls": false})
	}
	value, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", w.version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": host, "policies": policies}}, "upstreams": upstreams,
	})
	if err != nil {
		panic(err)
	}
	w.store.put(names.TopicConfig, "config", value)
}

// startNodes starts all nodes and waits until they are ready.
func (w *world) startNodes() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if !w.awaitReady(n, 20*time.Second) {
			return fmt.Errorf("%s is not ready", n.id)
		}
	}
	time.Sleep(2 * time.Second) // For the nodes to learn of each other and the servers.
	return nil
}

// awaitReady waits until the readiness check of a node succeeds.
func (w *world) awaitReady(n *node, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}

// isReady makes one readiness check.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + n.ready + names.PathReady)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// order and pull return an order and a download for a node.
func (n *node) order(path string, body []byte) request {
	return request{address: n.client, method: http.MethodPost, host: host, path: pathUnsafe + path, deadline: 8 * time.Second, body: body, id: newID()}
}

func (n *node) pull(path string) request {
	return request{address: n.client, method: http.MethodGet, host: host, path: pathLarge + path, deadline: 6 * time.Second, id: newID()}
}
