package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"lagoonstile"
	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/listener"
)

// Names of the files that a world writes for the processes around it.
const (
	InventoryFile = "inventory.toml"
	RulesFile     = "rules.toml"
	// WorldFile has a World as JSON.
	WorldFile = "world.json"
)

// World tells the other processes where everything is.
type World struct {
	// Platform is the URL of log and instance list, Control that of the world's
	// own listener, which takes orders and tells what ran.
	Platform string                 `json:"platform"`
	Control  string                 `json:"control"`
	Listed   []lagoonstile.Instance `json:"instances"`
}

// Order is what a world is told to do. Exactly one field is set.
type Order struct {
	Log    *emulator.LogFaults `json:"log,omitempty"`
	Server *ServerOrder        `json:"server,omitempty"`
}

// ServerOrder changes one server's faults.
type ServerOrder struct {
	ID     lagoonstile.ServerID  `json:"id"`
	Faults emulator.ServerFaults `json:"faults"`
}

// Ran is what a world tells of orders.
type Ran struct {
	Doubled int            `json:"doubled"`
	Runs    map[string]int `json:"runs"`
}

// ServeWorld runs the platform and the Consorzio's servers without instances,
// writes the files that instances and operators need into dir, and serves until
// the context ends. The instances are processes of their own.
func ServeWorld(ctx context.Context, dir string, instances int) error {
	plan := Consorzio(dir, 0)
	fleet, err := Start(plan)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	control, err := listener.Listen("127.0.0.1:0", listener.DefaultLimits, http.HandlerFunc(fleet.serveControl))
	if err != nil {
		return err
	}
	defer control.Close()
	world := World{Platform: fleet.Platform.URL(), Control: "http://" + control.Address()}
	for i := range instances {
		instance, err := settle(dir, i+1, plan.Domains[i%len(plan.Domains)], world.Platform)
		if err != nil {
			return err
		}
		fleet.Platform.Instances.Set(instance)
		world.Listed = append(world.Listed, instance)
	}
	data, err := json.Marshal(world)
	if err != nil {
		return err
	}
	files := []struct{ name, text string }{
		{InventoryFile, fleet.Inventory()},
		{RulesFile, plan.Rules},
		{WorldFile, string(data)}, // The last one says that all are there.
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(dir, file.name), []byte(file.text), 0o600); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// settle writes the settings of one instance with free ports.
func settle(dir string, number int, domain lagoonstile.FailureDomain, platform string) (lagoonstile.Instance, error) {
	var ports [3]string
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return lagoonstile.Instance{}, err
		}
		ports[i] = l.Addr().String()
		defer func() { _ = l.Close() }()
	}
	instance := lagoonstile.Instance{
		ID:            lagoonstile.InstanceID(fmt.Sprintf("proxy-%d", number)),
		State:         lagoonstile.InstanceLive,
		CallerAddress: ports[0], PeerAddress: ports[1], AdminAddress: ports[2],
		FailureDomain: domain,
	}
	text := fmt.Sprintf("instance = %q\nfailure-domain = %q\nlog-level = \"warn\"\n\n"+
		"[listen]\ncallers = %q\npeers = %q\nadmin = %q\n\n[platform]\nlog = %q\ninstances = %q\n\n"+
		"[drain]\nentry-validity = \"1s\"\nlimit = \"20s\"\n",
		instance.ID, domain, ports[0], ports[1], ports[2], platform, platform)
	return instance, os.WriteFile(filepath.Join(dir, string(instance.ID)+".toml"), []byte(text), 0o600)
}

// serveControl takes orders (POST /) and tells what ran (POST /ran with keys).
func (f *Fleet) serveControl(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.URL.Path == "/ran" {
		var keys []string
		if err := json.Unmarshal(data, &keys); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ran := Ran{Doubled: f.Ledger.Doubled(), Runs: make(map[string]int)}
		for _, key := range keys {
			ran.Runs[key] = f.Ledger.Runs(key)
		}
		_ = json.NewEncoder(w).Encode(ran)
		return
	}
	var order Order
	if err := json.Unmarshal(data, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if order.Log != nil {
		f.Platform.Log.SetFaults(*order.Log)
	}
	if order.Server != nil && f.Server(order.Server.ID) != nil {
		f.Server(order.Server.ID).SetFaults(order.Server.Faults)
	}
}

// ReadWorld reads what a world in another process wrote.
func ReadWorld(dir string) (World, error) {
	var world World
	data, err := os.ReadFile(filepath.Join(dir, WorldFile))
	if err != nil {
		return world, err
	}
	err = json.Unmarshal(data, &world)
	return world, err
}

// Tell gives the world an order.
func (w World) Tell(ctx context.Context, order Order) error {
	return w.post(ctx, "/", order, nil)
}

// Ran asks the world how often orders ran.
func (w World) Ran(ctx context.Context, keys []string) (Ran, error) {
	var ran Ran
	err := w.post(ctx, "/ran", keys, &ran)
	return ran, err
}

func (w World) post(ctx context.Context, path string, question, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	data, err := json.Marshal(question)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.Control+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("world: status %d", res.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(answer)
}

// Load sends the demo's work to the instances of a world for some time and
// reports. The error says which promise was broken.
func Load(ctx context.Context, out io.Writer, world World, span time.Duration) error {
	var seeds []string
	for _, instance := range world.Listed {
		seeds = append(seeds, instance.CallerAddress)
	}
	traffic := NewTraffic(seeds, func(key string) int {
		ran, err := world.Ran(ctx, []string{key})
		if err != nil {
			return -1
		}
		return ran.Runs[key]
	})
	sending, stop := context.WithTimeout(ctx, span)
	defer stop()
	traffic.Send(sending, consorzioWork)
	report := &Report{}
	report.collect(traffic)
	ran, err := world.Ran(ctx, nil)
	if err != nil {
		return err
	}
	report.Doubled = ran.Doubled
	report.printTallies(out)
	return errors.Join(report.unsafe()...)
}
