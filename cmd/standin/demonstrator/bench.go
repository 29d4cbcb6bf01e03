package demonstrator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"lagoonstile"
	"lagoonstile/connector"
	"lagoonstile/listener"
	"lagoonstile/operator"
)

// Parameters of the benchmark.
const (
	// benchSpan is the duration of one measurement.
	benchSpan = 4 * time.Second
	// warmUp is the first part of a measurement, in which connections are opened.
	// Its latencies are not counted.
	warmUp = time.Second
	// nodeRate is the peak rate of one node in requests per second. The peak load
	// of the users is 1.6 million requests per second over 3,200 nodes.
	nodeRate    = 500
	idleConns   = 2000
	activeConns = 500
	// waitPath is the path of requests that get no answer.
	waitPath = "/bench/wait"
)

// Bench measures the throughput and latency of requests through one instance and,
// for comparison, of requests sent directly to the same server. It also measures
// the memory that connections use in the instance.
func Bench(ctx context.Context, out io.Writer, world World) error {
	server, err := listener.Listen("127.0.0.1:0", listener.DefaultLimits, http.HandlerFunc(answerShort))
	if err != nil {
		return err
	}
	defer server.Close()
	if err := publishBenchService(ctx, world, server.Address()); err != nil {
		return err
	}
	proxy := world.Instances[0].CallerAddress
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "connections\tpace\tway\trequests/s\tp50\tp99\tadded p50\tadded p99\t")
	for _, row := range []struct{ connections, pace int }{{1, 0}, {64, 0}, {512, 0}, {64, nodeRate}, {64, 4 * nodeRate}, {512, 4 * nodeRate}} {
		direct := measure(ctx, server.Address(), row.connections, row.pace)
		through := measure(ctx, proxy, row.connections, row.pace)
		direct.print(table, row.connections, row.pace, "direct", timings{})
		through.print(table, row.connections, row.pace, "proxy", direct)
	}
	_ = table.Flush()
	return benchMemory(ctx, out, world.Instances[0])
}

// answerShort answers at once with a short body. It does not answer requests for
// waitPath and returns when their caller has gone.
func answerShort(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == waitPath {
		<-req.Context().Done()
		return
	}
	w.Header().Set("Content-Length", "3")
	_, _ = io.WriteString(w, "ok\n")
}

// publishBenchService publishes a service that has one server with many slots, and
// waits until it is in force on the first instance.
func publishBenchService(ctx context.Context, world World, address string) error {
	client := &operator.Client{Log: &connector.Log{Base: world.Platform}, Instances: &connector.InstanceList{Base: world.Platform}}
	service := &lagoonstile.Service{
		ID: "bench", Rank: lagoonstile.RankLookups, Idempotent: true,
		Routes:  []lagoonstile.Route{{PathPrefix: "/bench"}},
		Servers: []lagoonstile.Server{{ID: "bench-1", Address: address, FailureDomain: "nord-a", Slots: 1000}},
		Floor:   1, FalseEjectionsPerWeek: 1, Deadline: 10 * time.Second, RetryShare: 0, ConnectionsPerServer: 1000,
	}
	want := lagoonstile.Configuration{Services: map[lagoonstile.ServiceID]*lagoonstile.Service{"bench": service}}
	publication, err := client.Publish(ctx, want, "bench")
	if err != nil {
		return err
	}
	for range 100 {
		var status struct {
			Version lagoonstile.Version `json:"version"`
		}
		err = client.Get(ctx, world.Instances[0].AdminAddress, "/status", &status)
		if err == nil && status.Version >= publication.Version {
			return nil
		}
		wait(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("version %d is not in force on %s: %w", publication.Version, world.Instances[0].ID, err)
}

// timings holds the throughput and the latencies of one measurement.
type timings struct {
	perSecond float64
	p50, p99  time.Duration
}

// print writes a row of the table. The added latencies are those through the proxy
// minus those of the direct requests.
func (r timings) print(out io.Writer, connections, pace int, way string, direct timings) {
	paced := "none"
	if pace > 0 {
		paced = fmt.Sprintf("%d/s", pace)
	}
	added50, added99 := "", ""
	if way == "proxy" {
		added50 = (r.p50 - direct.p50).Round(10 * time.Microsecond).String()
		added99 = (r.p99 - direct.p99).Round(10 * time.Microsecond).String()
	}
	_, _ = fmt.Fprintf(out, "%d\t%s\t%s\t%.0f\t%s\t%s\t%s\t%s\t\n", connections, paced, way, r.perSecond,
		r.p50.Round(10*time.Microsecond), r.p99.Round(10*time.Microsecond), added50, added99)
}

// measure sends requests for benchSpan, one at a time on each connection. pace is
// the rate over all connections in requests per second; 0 sends them as fast as
// possible.
func measure(ctx context.Context, address string, connections, pace int) timings {
	ctx, cancel := context.WithTimeout(ctx, benchSpan)
	defer cancel()
	times := make([][]time.Duration, connections)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var interval time.Duration
			if pace > 0 {
				interval = time.Duration(connections) * time.Second / time.Duration(pace)
				wait(ctx, interval*time.Duration(i)/time.Duration(connections))
			}
			times[i] = sendOver(ctx, address, interval)
		}()
	}
	wg.Wait()
	merged := slices.Concat(times...)
	slices.Sort(merged)
	if len(merged) == 0 {
		return timings{}
	}
	percentile := func(p float64) time.Duration { return merged[int(p*float64(len(merged)-1))] }
	return timings{perSecond: float64(len(merged)) / (time.Since(start) - warmUp).Seconds(), p50: percentile(0.5), p99: percentile(0.99)}
}

// sendOver sends requests one after the other on one connection, until the context
// ends or a request fails, and returns the latencies after the warm-up. A positive
// interval is the time between the starts of two requests; 0 sends them as fast as
// possible.
func sendOver(ctx context.Context, address string, interval time.Duration) []time.Duration {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request := []byte("GET /bench HTTP/1.1\r\nHost: bench\r\n\r\n")
	var times []time.Duration
	next := time.Now()
	warmUpEnd := next.Add(warmUp)
	for ctx.Err() == nil {
		if interval > 0 {
			wait(ctx, time.Until(next))
			next = next.Add(interval)
		}
		start := time.Now()
		if _, err := conn.Write(request); err != nil {
			return times
		}
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			return times
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if start.After(warmUpEnd) {
			times = append(times, time.Since(start))
		}
	}
	return times
}

// benchMemory opens idle and active connections to an instance in another process
// and reports how much memory each of them uses there.
func benchMemory(ctx context.Context, out io.Writer, instance lagoonstile.Instance) error {
	before, err := liveBytes(ctx, instance)
	if err != nil {
		return err
	}
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for range idleConns {
		conn, err := sendRequest(instance.CallerAddress, "/bench")
		if err != nil {
			return err
		}
		conns = append(conns, conn)
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			return err
		}
	}
	idle, err := liveBytes(ctx, instance)
	if err != nil {
		return err
	}
	for range activeConns {
		conn, err := sendRequest(instance.CallerAddress, waitPath)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	wait(ctx, time.Second)
	active, err := liveBytes(ctx, instance)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "live heap and stacks of the instance: %d KB\n", before>>10)
	_, _ = fmt.Fprintf(out, "with %d idle connections: %d KB, %.1f KB each\n", idleConns, idle>>10, float64(idle-before)/1024/idleConns)
	_, _ = fmt.Fprintf(out, "and %d with a request in flight: %d KB, %.1f KB each\n", activeConns, active>>10, float64(active-idle)/1024/activeConns)
	return nil
}

// sendRequest opens a connection and sends one request on it.
func sendRequest(address, path string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: bench\r\n\r\n")
	return conn, err
}

// liveBytes returns the size of the live heap and the stacks of an instance in
// bytes, from its metrics.
func liveBytes(ctx context.Context, instance lagoonstile.Instance) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.AdminAddress+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		var value int64
		if _, err := fmt.Sscanf(line, "process.live-bytes %d", &value); err == nil {
			return value, nil
		}
	}
	return 0, fmt.Errorf("instance %s: metric process.live-bytes is missing", instance.ID)
}
