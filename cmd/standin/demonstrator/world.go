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

// Names of the files that ServeWorld writes for other processes.
const (
	InventoryFile = "inventory.toml"
	RulesFile     = "rules.toml"
	// WorldFile holds a World as JSON.
	WorldFile = "world.json"
)

// World holds the addresses that other processes need to reach the instances of a
// fleet, its platform, and the process that runs ServeWorld.
type World struct {
	// Platform is the URL of the log and the instance list. Control is the URL of
	// the listener that accepts Commands and reports RunCounts.
	Platform  string                 `json:"platform"`
	Control   string                 `json:"control"`
	Instances []lagoonstile.Instance `json:"instances"`
}

// Command is a command to the process that runs ServeWorld. Each field that is set
// replaces the faults of the log or of a server.
type Command struct {
	Log    *emulator.LogFaults `json:"log,omitempty"`
	Server *ServerCommand      `json:"server,omitempty"`
}

// ServerCommand sets the faults of one server.
type ServerCommand struct {
	ID     lagoonstile.ServerID  `json:"id"`
	Faults emulator.ServerFaults `json:"faults"`
}

// RunCounts reports how often the orders of callers ran.
type RunCounts struct {
	// DoubledOrders counts all orders that ran more than once. Runs holds the number
	// of runs for each idempotency key in the request.
	DoubledOrders int            `json:"doubled"`
	Runs          map[string]int `json:"runs"`
}

// ServeWorld runs the platform and the servers that Consorzio describes, writes the
// files that instances and operators need to dir, and serves until the context ends.
// It starts no instances; they run as separate processes.
func ServeWorld(ctx context.Context, dir string, instances int) error {
	config := Consorzio(dir, 0)
	fleet, err := Start(config)
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
		instance, err := writeSettings(dir, i+1, config.Domains[i%len(config.Domains)], world.Platform)
		if err != nil {
			return err
		}
		fleet.Platform.Instances.Set(instance)
		world.Instances = append(world.Instances, instance)
	}
	data, err := json.Marshal(world)
	if err != nil {
		return err
	}
	files := []struct{ name, text string }{
		{InventoryFile, fleet.Inventory()},
		{RulesFile, config.Rules},
		{WorldFile, string(data)}, // Written last, so that its presence shows that all files are there.
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(dir, file.name), []byte(file.text), 0o600); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// writeSettings chooses free ports for an instance, writes its settings file, and
// returns its entry for the instance list.
func writeSettings(dir string, number int, domain lagoonstile.FailureDomain, platform string) (lagoonstile.Instance, error) {
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

// serveControl serves the control listener. The body of a request to /ran is a list
// of idempotency keys, and the answer is a RunCounts. The body of any other request
// is a Command, which is applied.
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
		ran := RunCounts{DoubledOrders: f.Ledger.DoubledCount(), Runs: make(map[string]int)}
		for _, key := range keys {
			ran.Runs[key] = f.Ledger.Runs(key)
		}
		_ = json.NewEncoder(w).Encode(ran)
		return
	}
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if command.Log != nil {
		f.Platform.Log.SetFaults(*command.Log)
	}
	if command.Server != nil && f.Server(command.Server.ID) != nil {
		f.Server(command.Server.ID).SetFaults(command.Server.Faults)
	}
}

// ReadWorld reads the WorldFile that ServeWorld wrote in another process.
func ReadWorld(dir string) (World, error) {
	var world World
	data, err := os.ReadFile(filepath.Join(dir, WorldFile))
	if err != nil {
		return world, err
	}
	err = json.Unmarshal(data, &world)
	return world, err
}

// SendCommand sends a command to the process that runs ServeWorld.
func (w World) SendCommand(ctx context.Context, command Command) error {
	return w.post(ctx, "/", command, nil)
}

// RunCounts returns how often the orders with the given idempotency keys ran.
func (w World) RunCounts(ctx context.Context, keys []string) (RunCounts, error) {
	var ran RunCounts
	err := w.post(ctx, "/ran", keys, &ran)
	return ran, err
}

func (w World) post(ctx context.Context, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	data, err := json.Marshal(request)
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
		return fmt.Errorf("control listener answered with status %d", res.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(answer)
}

// Load sends the demo's workloads to the instances of a world for the given time and
// writes the results to out. The error names the guarantees that were violated.
func Load(ctx context.Context, out io.Writer, world World, span time.Duration) error {
	var seeds []string
	for _, instance := range world.Instances {
		seeds = append(seeds, instance.CallerAddress)
	}
	traffic := NewTraffic(seeds, func(key string) int {
		ran, err := world.RunCounts(ctx, []string{key})
		if err != nil {
			return -1
		}
		return ran.Runs[key]
	})
	sending, stop := context.WithTimeout(ctx, span)
	defer stop()
	traffic.Send(sending, consorzioWorkloads)
	report := &Report{}
	report.collectTallies(traffic)
	ran, err := world.RunCounts(ctx, nil)
	if err != nil {
		return err
	}
	report.Doubled = ran.DoubledOrders
	report.printTallies(out)
	return errors.Join(report.safetyViolations()...)
}
