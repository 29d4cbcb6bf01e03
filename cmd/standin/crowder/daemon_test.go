package crowder_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/connector"
	"lagoonstile/operator"
)

// Services of the configuration of the daemon. Requests for serviceOrder must not run
// twice.
const (
	serviceLook     = "look"
	serviceOrder    = "order"
	serviceDownload = "big"
	serviceWide     = "wide"
)

// startDaemons starts instances of a fleet that gets its configuration from a log.
// Bodies may be maxBodyBytes long.
func startDaemons(t *testing.T, count int) []*instance {
	t.Helper()
	return startDaemonsWith(t, count, machine(t), nil)
}

// startDaemonsWith is startDaemons with another setup, and with servers for pathWide, one
// at each address.
func startDaemonsWith(t *testing.T, count int, with setup, wide []string) []*instance {
	t.Helper()
	f := startFleet(t, wide)
	var instances []*instance
	for n := range count {
		instances = append(instances, f.startDaemon(n+1, with))
	}
	for _, i := range instances {
		i.awaitAnswer()
	}
	return instances
}

// fleet is the platform of instances of the daemon, with a server.
type fleet struct {
	*emulator.Platform
	t      *testing.T
	server *server
}

// startFleet starts a fleet without instances, whose services are published. wide holds
// the addresses of the servers for pathWide.
func startFleet(t *testing.T, wide []string) *fleet {
	t.Helper()
	services, err := emulator.StartPlatform("127.0.0.1:0", time.Hour, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(services.Stop)
	f := &fleet{Platform: services, t: t, server: startServer(t)}
	publish(t, services, f.server, wide)
	return f
}

// startDaemon starts an instance, which gets a number, and lists it.
func (f *fleet) startDaemon(number int, with setup) *instance {
	f.t.Helper()
	i := newDaemon(f.t, number, f.URL(), with)
	i.server = f.server
	f.Instances.Set(lagoonstile.Instance{
		ID: lagoonstile.InstanceID(daemonName(number)), State: lagoonstile.InstanceLive, FailureDomain: "zone-1",
		CallerAddress: i.address, PeerAddress: i.peers, AdminAddress: i.operators,
	})
	i.run()
	return i
}

// startDaemonOf starts an instance whose log and instance list are at a URL.
func startDaemonOf(t *testing.T, url string, with setup) *instance {
	t.Helper()
	i := newDaemon(t, 1, url, with)
	i.run()
	return i
}

// daemonName returns the name of an instance, by its number.
func daemonName(number int) string { return fmt.Sprintf("proxy-%d", number) }

// newDaemon returns an instance that was not started, whose log and instance list are at
// a URL.
func newDaemon(t *testing.T, number int, url string, with setup) *instance {
	t.Helper()
	binary, err := daemon()
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{t: t, memoryMB: with.memoryMB, descriptors: with.descriptors}
	ports := freePorts(t, 3)
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[n]) }
	i.address, i.peers, i.operators = at(0), at(1), at(2)
	i.file = filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("instance = %q\nfailure-domain = \"zone-1\"\nlog-level = \"warn\"\n\n"+
		"[listen]\ncallers = %q\npeers = %q\nadmin = %q\n\n[platform]\nlog = %q\ninstances = %q\n\n"+
		"[limits]\nrequest-bytes = %d\nmemory-bytes = %d\ndescriptors = %d\n\n"+
		"[drain]\nentry-validity = \"1s\"\nlimit = \"%ds\"\n",
		daemonName(number), i.address, i.peers, i.operators, url, url,
		maxBodyBytes, with.memoryMB*1_000_000, with.descriptors, graceSeconds)
	if err := os.WriteFile(i.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	i.program = []string{binary, "serve", "--settings", i.file}
	return i
}

// publish puts a configuration in force whose services have one server, but that for
// pathWide one at each of its addresses, if there are any.
func publish(t *testing.T, fleet *emulator.Platform, server *server, wide []string) {
	t.Helper()
	config := lagoonstile.Configuration{Services: make(map[lagoonstile.ServiceID]*lagoonstile.Service)}
	for id, path := range map[lagoonstile.ServiceID]string{serviceLook: pathLook, serviceOrder: pathOrder, serviceDownload: pathDownload} {
		config.Services[id] = &lagoonstile.Service{
			ID: id, Rank: lagoonstile.Ranks()[0], Idempotent: id != serviceOrder,
			Routes:  []lagoonstile.Route{{Host: "shop.example", PathPrefix: path}},
			Servers: []lagoonstile.Server{{ID: lagoonstile.ServerID("server-" + id), Address: server.address, FailureDomain: "zone-1", Slots: 64}},
			Floor:   lagoonstile.DefaultFloor, FalseEjectionsPerWeek: lagoonstile.DefaultFalseEjectionsPerWeek,
			Deadline: 20 * time.Second, RetryShare: lagoonstile.DefaultRetryShare, ConnectionsPerServer: 64,
		}
	}
	if len(wide) > 0 {
		faulty := *config.Services[serviceLook]
		faulty.ID, faulty.Servers = serviceWide, nil
		faulty.Routes = []lagoonstile.Route{{Host: "shop.example", PathPrefix: pathWide}}
		for n, address := range wide {
			id := lagoonstile.ServerID(fmt.Sprintf("wide-%02d", n))
			faulty.Servers = append(faulty.Servers, lagoonstile.Server{ID: id, Address: address, FailureDomain: "zone-1", Slots: wideSlots})
		}
		config.Services[serviceWide] = &faulty
	}
	client := &operator.Client{Log: &connector.Log{Base: fleet.URL(), Client: &http.Client{}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := client.Publish(ctx, config, "crowd"); err != nil {
		t.Fatal(err)
	}
}

// TestDaemonUnfinishedBodies is TestUnfinishedBodiesOfManyClients for the daemon.
func TestDaemonUnfinishedBodies(t *testing.T) {
	i := startDaemons(t, 1)[0]
	i.bodies()
	i.check()
}

// TestDaemonLargeBodies has clients send whole bodies to the daemon, with a length and in
// chunks.
func TestDaemonLargeBodies(t *testing.T) {
	const clients, chunkBytes = 40, 1 << 20
	i := startDaemons(t, 1)[0]
	key := lagoonstile.HeaderKey + ": proxy-1.none.1.crowd"
	withLength := func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("%s\r\nContent-Length: %d", key, bodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, bodyBytes)
	}
	inChunks := func(w io.Writer) error {
		if err := sendText(w, order(key+"\r\nTransfer-Encoding: chunked"), 1); err != nil {
			return err
		}
		for range bodyBytes / chunkBytes {
			if err := sendChunk(w, chunkBytes); err != nil {
				return err
			}
		}
		return sendText(w, "0\r\n\r\n", 1)
	}
	i.crowd(crowdSize(t, clients), alternately(withLength, inChunks))
	i.check()
}

// TestDaemonUnreadAnswers is TestUnreadAnswersOfManyClients for the daemon.
func TestDaemonUnreadAnswers(t *testing.T) {
	i := startDaemons(t, 1)[0]
	i.crowd(crowdSize(t, crowdClients), func(w io.Writer) error {
		return sendText(w, head("GET", fmt.Sprintf("%s1?%d", pathDownload, answerBytes)), 1)
	})
	time.Sleep(2 * time.Second) // The answers come in this time; nothing is checked by it.
	i.check()
}

// TestDaemonBodiesWhileServersStandStill is TestBodiesWhileServersStandStill for the
// daemon.
func TestDaemonBodiesWhileServersStandStill(t *testing.T) {
	i := startDaemons(t, 1)[0]
	i.server.stall()
	i.crowd(crowdSize(t, crowdClients), alternately(func(w io.Writer) error {
		if err := sendText(w, head("POST", pathLook+"1", fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, crowdBodyBytes)
	}, sendUnfinishedBody))
	time.Sleep(2 * time.Second) // The servers stand still in this time; nothing is checked by it.
	i.server.resume()
	i.check()
}

// TestDaemonCrowdsAtOtherListeners has crowds send bodies and heads without end to the
// listeners for peers and for operators.
func TestDaemonCrowdsAtOtherListeners(t *testing.T) {
	instances := startDaemons(t, 2)
	i := instances[0]
	lines := strings.Repeat("X-Header: value\r\n", pieceBytes/17)
	endlessHead := func(w io.Writer) error {
		if err := sendText(w, "GET / HTTP/1.1\r\nHost: a\r\n", 1); err != nil {
			return err
		}
		return sendText(w, lines, 2*crowdBodyBytes/pieceBytes)
	}
	for _, address := range []string{i.operators, i.peers} {
		i.crowdAt(address, crowdSize(t, crowdClients), alternately(sendUnfinishedBody, sendUnfinishedChunks, endlessHead))
		i.check()
	}
	i.awaitOK("operators", i.operators, "/status")
	instances[1].check()
}

// TestDaemonOrdersBetweenInstances has clients send large orders to one instance that
// belong to another. Each of the two must stay within its limits.
func TestDaemonOrdersBetweenInstances(t *testing.T) {
	const clients = 60
	instances := startDaemons(t, 2)
	home := instances[0].homeOf("proxy-2")
	calm := exchange(instances[0].address, 5*time.Second, func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("%s: %s.calm\r\nContent-Length: %d", lagoonstile.HeaderKey, home, crowdBodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, crowdBodyBytes)
	})
	if calm != "200 ok" {
		t.Errorf("an order without a crowd got %q, want 200 ok", calm)
	}
	orders := make(chan int, 1)
	orders <- 0
	instances[0].crowd(crowdSize(t, clients), func(w io.Writer) error {
		number := <-orders
		orders <- number + 1
		key := fmt.Sprintf("%s: %s.crowd-%d", lagoonstile.HeaderKey, home, number)
		if err := sendText(w, order(fmt.Sprintf("%s\r\nContent-Length: %d", key, bodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, bodyBytes)
	})
	for _, i := range instances {
		i.check()
	}
}

// TestDaemonStopBesideCrowd is TestStopBesideCrowd for the daemon.
func TestDaemonStopBesideCrowd(t *testing.T) {
	i := startDaemons(t, 1)[0]
	i.bodies()
	i.check()
	i.terminate()
}

// homeOf asks where to connect until the answer names a home at the instance, and
// returns it.
func (i *instance) homeOf(name string) string {
	i.t.Helper()
	home := ""
	i.await("no home at "+name, func() (bool, string) {
		answer := entryOf(i.address)
		home = answer.Home
		return strings.HasPrefix(home, name+"."), home
	})
	return home
}

// entryAnswer is the answer to a client that asks where to connect.
type entryAnswer struct {
	Home string `json:"home"`
}

// entryOf asks an instance where to connect for orders. The answer is empty if there is
// none.
func entryOf(address string) entryAnswer {
	var answer entryAnswer
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return answer
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_ = sendText(conn, head("GET", "/lagoonstile/entry?service="+serviceOrder), 1) // The answer tells.
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer
	}
	_ = json.NewDecoder(res.Body).Decode(&answer) // Empty if it is no answer.
	return answer
}
