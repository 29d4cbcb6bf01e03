package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/connector"
	"lagoonstile/listener"
	"lagoonstile/loader"
	"lagoonstile/operator"
	"lagoonstile/runner"
)

// ServerGroup describes the servers of one service.
type ServerGroup struct {
	Service lagoonstile.ServiceID
	// Prefix is the start of the server IDs, which end in a number from 1 to Count.
	Prefix string
	Count  int
	// ServiceTime is the service time of one request.
	ServiceTime time.Duration
}

// Config describes a fleet, its servers and its platform.
type Config struct {
	Domains []lagoonstile.FailureDomain
	Groups  []ServerGroup
	// Rules is the text of the rules file.
	Rules     string
	Instances int
	// Retention is the retention time that the log reports. Lag is the time until a
	// change of the instance list becomes visible.
	Retention, Lag time.Duration
	// AdjustSettings, if not nil, changes the settings of each instance before it
	// starts.
	AdjustSettings func(*loader.Settings)
	// Logger is the logger of the instances; nil discards their log.
	Logger *slog.Logger
	// Dir is the directory of the inventory and rules files.
	Dir string
}

// Fleet runs a platform, servers and instances in this process, each on its own
// sockets. The instances run the daemon's code.
type Fleet struct {
	config   Config
	Platform *emulator.Platform
	Ledger   *emulator.Ledger

	mu        sync.Mutex
	servers   map[lagoonstile.ServerID]*emulator.Server
	groups    map[lagoonstile.ServerID]ServerGroup
	instances map[lagoonstile.InstanceID]*runner.Instance
	// started is the number of instances started so far. New instances are numbered
	// by it.
	started int
}

// Start starts the platform, servers and instances that config describes. It does
// not publish the services.
func Start(config Config) (*Fleet, error) {
	if config.Logger == nil {
		config.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	platform, err := emulator.StartPlatform("127.0.0.1:0", config.Retention, config.Lag)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		config:    config,
		Platform:  platform,
		Ledger:    emulator.NewLedger(),
		servers:   make(map[lagoonstile.ServerID]*emulator.Server),
		groups:    make(map[lagoonstile.ServerID]ServerGroup),
		instances: make(map[lagoonstile.InstanceID]*runner.Instance),
	}
	for _, group := range config.Groups {
		for i := range group.Count {
			id := lagoonstile.ServerID(fmt.Sprintf("%s-%d", group.Prefix, i+1))
			if err := f.StartServer(id, group, "127.0.0.1:0"); err != nil {
				return nil, err
			}
		}
	}
	for range config.Instances {
		if _, err := f.AddInstance(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// StartServer starts a server, or replaces a stopped server on its old address.
func (f *Fleet) StartServer(id lagoonstile.ServerID, group ServerGroup, address string) error {
	server := emulator.NewServer(id, lagoonstile.DefaultSlots, group.ServiceTime, f.Ledger, uint64(len(f.servers)+1))
	if err := server.Start(address); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id] = server
	f.groups[id] = group
	return nil
}

// Server returns the server with the given ID, or nil.
func (f *Fleet) Server(id lagoonstile.ServerID) *emulator.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id]
}

// AddInstance starts one more instance and adds it to the instance list.
func (f *Fleet) AddInstance() (*runner.Instance, error) {
	f.mu.Lock()
	f.started++
	number := f.started
	f.mu.Unlock()
	settings := loader.Settings{
		Instance:      lagoonstile.InstanceID(fmt.Sprintf("proxy-%d", number)),
		FailureDomain: f.config.Domains[number%len(f.config.Domains)],
		CallerAddress: "127.0.0.1:0",
		PeerAddress:   "127.0.0.1:0",
		AdminAddress:  "127.0.0.1:0",
		LogURL:        f.Platform.URL(),
		InstancesURL:  f.Platform.URL(),
		Limits:        listener.DefaultLimits,
		MaxInFlight:   loader.DefaultMaxInFlight,
		MaxKeys:       loader.DefaultMaxKeys,
		EntryValidity: time.Second,
		DrainLimit:    loader.DefaultDrainLimit,
	}
	if f.config.AdjustSettings != nil {
		f.config.AdjustSettings(&settings)
	}
	instance, err := runner.Start(settings, f.config.Logger)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.instances[settings.Instance] = instance
	f.mu.Unlock()
	f.updateInstanceList(instance, lagoonstile.InstanceLive)
	return instance, nil
}

// updateInstanceList writes the entry of an instance in the instance list.
func (f *Fleet) updateInstanceList(instance *runner.Instance, state lagoonstile.InstanceState) {
	self := instance.Identity()
	f.Platform.Instances.Set(lagoonstile.Instance{
		ID:            self.Instance,
		State:         state,
		CallerAddress: instance.CallerAddress(),
		PeerAddress:   self.PeerAddress,
		AdminAddress:  instance.AdminAddress(),
		FailureDomain: self.FailureDomain,
	})
}

// Instances returns the running instances, sorted by ID.
func (f *Fleet) Instances() []*runner.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*runner.Instance
	for _, instance := range f.instances {
		out = append(out, instance)
	}
	slices.SortFunc(out, func(a, b *runner.Instance) int {
		return strings.Compare(string(a.Identity().Instance), string(b.Identity().Instance))
	})
	return out
}

// Drain makes an instance leave gracefully, waits until it has drained, and removes
// it from the instance list.
func (f *Fleet) Drain(ctx context.Context, instance *runner.Instance) error {
	f.updateInstanceList(instance, lagoonstile.InstanceLeaving)
	err := instance.Drain(ctx)
	f.remove(instance)
	return err
}

// Crash stops an instance at once and removes it from the instance list.
func (f *Fleet) Crash(instance *runner.Instance) {
	instance.Stop()
	f.remove(instance)
}

// remove removes an instance from the fleet and from the instance list.
func (f *Fleet) remove(instance *runner.Instance) {
	id := instance.Identity().Instance
	f.mu.Lock()
	delete(f.instances, id)
	f.mu.Unlock()
	f.Platform.Instances.Remove(id)
}

// Inventory returns the text of an inventory file with all servers except the given
// ones.
func (f *Fleet) Inventory(without ...lagoonstile.ServerID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var text strings.Builder
	for _, group := range f.config.Groups {
		fmt.Fprintf(&text, "[[service]]\nname = %q\n", group.Service)
		number := 0
		for i := range group.Count {
			id := lagoonstile.ServerID(fmt.Sprintf("%s-%d", group.Prefix, i+1))
			number++
			if slices.Contains(without, id) {
				continue
			}
			domain := f.config.Domains[number%len(f.config.Domains)]
			fmt.Fprintf(&text, "[[service.server]]\nid = %q\naddress = %q\nfailure-domain = %q\n", id, f.servers[id].Address(), domain)
		}
	}
	return text.String()
}

// Publish publishes an inventory and the configured rules with the code of
// lagoonctl, and waits until they are in force.
func (f *Fleet) Publish(ctx context.Context, inventory string) (operator.Publication, error) {
	inventoryFile := filepath.Join(f.config.Dir, "inventory.toml")
	rulesFile := filepath.Join(f.config.Dir, "rules.toml")
	for file, text := range map[string]string{inventoryFile: inventory, rulesFile: f.config.Rules} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return operator.Publication{}, err
		}
	}
	want, err := loader.ReadConfiguration(inventoryFile, rulesFile)
	if err != nil {
		return operator.Publication{}, err
	}
	client := f.Operator()
	publication, err := client.Publish(ctx, want, "demo")
	if err != nil {
		return publication, err
	}
	return publication, client.Wait(ctx, &publication)
}

// Operator returns the client by which operators access the fleet.
func (f *Fleet) Operator() *operator.Client {
	url := f.Platform.URL()
	return &operator.Client{Log: &connector.Log{Base: url}, Instances: &connector.InstanceList{Base: url}}
}

// Stop stops all instances, servers and the platform.
func (f *Fleet) Stop() {
	for _, instance := range f.Instances() {
		f.Crash(instance)
	}
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, server := range servers {
		server.Stop()
	}
	f.Platform.Stop()
}
