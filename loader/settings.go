package loader

import (
	"log/slog"
	"net/url"
	"strings"
	"time"

	"lagoonstile"
	"lagoonstile/exchanger"
	"lagoonstile/listener"
)

// Settings holds the settings of one instance, which it reads when it starts.
type Settings struct {
	Instance      lagoonstile.InstanceID
	FailureDomain lagoonstile.FailureDomain
	LogLevel      slog.Level
	// CallerAddress, PeerAddress and AdminAddress are the addresses of the three
	// listeners, as IP:port.
	CallerAddress, PeerAddress, AdminAddress string
	// LogURL and InstancesURL are the URLs of the platform's log and of its
	// instance list, without a trailing slash.
	LogURL, InstancesURL string
	Limits               listener.Limits
	// ResponseLimits are the limits of servers' responses.
	ResponseLimits exchanger.Limits
	// MemoryBytes is the memory, and Descriptors the number of file descriptors, that
	// the process may use. The value 0 means the default.
	MemoryBytes int64
	Descriptors int
	// MaxInFlight is the maximum number of requests in flight over all services.
	MaxInFlight int
	// MaxKeys is the maximum number of idempotency keys that the instance
	// stores.
	MaxKeys int
	// EntryValidity is how long callers may use an entry answer.
	EntryValidity time.Duration
	// DrainLimit is the maximum duration of a graceful shutdown.
	DrainLimit time.Duration
}

// Defaults for settings that the file does not set.
const (
	DefaultMaxInFlight   = 2048
	DefaultMaxKeys       = 100_000
	DefaultEntryValidity = 5 * time.Second
	DefaultDrainLimit    = time.Minute
)

// Smallest values of settings that may be left out.
const (
	minMemoryBytes = 64 << 20
	minDescriptors = 400
)

// settingsFile is the content of a settings file.
type settingsFile struct {
	Instance      string `toml:"instance"`
	FailureDomain string `toml:"failure-domain"`
	LogLevel      string `toml:"log-level"`
	Listen        struct {
		Callers string `toml:"callers"`
		Peers   string `toml:"peers"`
		Admin   string `toml:"admin"`
	} `toml:"listen"`
	Platform struct {
		Log       string `toml:"log"`
		Instances string `toml:"instances"`
	} `toml:"platform"`
	Limits struct {
		RequestBytes         int      `toml:"request-bytes"`
		HeadBytes            int      `toml:"head-bytes"`
		HeadTime             duration `toml:"head-time"`
		BodyPause            duration `toml:"body-pause"`
		MemoryBytes          int64    `toml:"memory-bytes"`
		Descriptors          int      `toml:"descriptors"`
		Headers              int      `toml:"headers"`
		Idle                 duration `toml:"idle"`
		Stall                duration `toml:"stall"`
		ResponseHeadBytes    int64    `toml:"response-head-bytes"`
		ResponseUnknownBytes int64    `toml:"response-unknown-bytes"`
		InFlight             int      `toml:"in-flight"`
		KeyTable             int      `toml:"key-table"`
	} `toml:"limits"`
	Drain struct {
		EntryValidity duration `toml:"entry-validity"`
		Limit         duration `toml:"limit"`
	} `toml:"drain"`
}

// ReadSettings reads and checks a settings file. If the file can be read but has
// problems, the error is of type Problems.
func ReadSettings(path string) (Settings, error) {
	file := settingsFile{LogLevel: "info"}
	file.Limits.RequestBytes = listener.DefaultLimits.MaxRequestBytes
	file.Limits.HeadBytes = listener.DefaultLimits.MaxHeadBytes
	file.Limits.HeadTime = duration(listener.DefaultLimits.HeadTimeout)
	file.Limits.BodyPause = duration(listener.DefaultLimits.BodyTimeout)
	file.Limits.Headers = listener.DefaultLimits.MaxHeaders
	file.Limits.Idle = duration(listener.DefaultLimits.IdleTimeout)
	file.Limits.Stall = duration(listener.DefaultLimits.StallTimeout)
	file.Limits.ResponseHeadBytes = exchanger.DefaultLimits.MaxHeadBytes
	file.Limits.ResponseUnknownBytes = exchanger.DefaultLimits.MaxUnknownLengthBytes
	file.Limits.InFlight = DefaultMaxInFlight
	file.Limits.KeyTable = DefaultMaxKeys
	file.Drain.EntryValidity = duration(DefaultEntryValidity)
	file.Drain.Limit = duration(DefaultDrainLimit)
	doc, err := read(path, &file)
	if err != nil {
		return Settings{}, err
	}
	if doc.err() == nil {
		doc.checkSettings(&file)
	}
	if err := doc.err(); err != nil {
		return Settings{}, err
	}
	return file.settings(), nil
}

func (d *document) checkSettings(file *settingsFile) {
	if file.Instance == "" || strings.ContainsAny(file.Instance, ". /") {
		d.errorf("instance", "%q; expected a name without dots, spaces or slashes", file.Instance)
	}
	if file.FailureDomain == "" {
		d.errorf("failure-domain", "missing; expected the name of the failure domain")
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(file.LogLevel)); err != nil {
		d.errorf("log-level", "%q; expected debug, info, warn or error", file.LogLevel)
	}
	d.checkListeners(file)
	d.checkURL("platform.log", file.Platform.Log)
	d.checkURL("platform.instances", file.Platform.Instances)
	d.checkAtLeast("limits.request-bytes", int64(file.Limits.RequestBytes), 1024, "bytes")
	d.checkAtLeast("limits.headers", int64(file.Limits.Headers), 1, "header lines")
	d.checkAtLeast("limits.response-head-bytes", file.Limits.ResponseHeadBytes, 1024, "bytes")
	d.checkAtLeast("limits.response-unknown-bytes", file.Limits.ResponseUnknownBytes, 1024, "bytes")
	d.checkAtLeast("limits.in-flight", int64(file.Limits.InFlight), 1, "requests")
	d.checkAtLeast("limits.key-table", int64(file.Limits.KeyTable), 1, "keys")
	d.checkAtLeast("limits.head-bytes", int64(file.Limits.HeadBytes), 1024, "bytes")
	d.checkPositive("limits.head-time", file.Limits.HeadTime)
	d.checkPositive("limits.body-pause", file.Limits.BodyPause)
	if file.Limits.MemoryBytes != 0 {
		d.checkAtLeast("limits.memory-bytes", file.Limits.MemoryBytes, minMemoryBytes, "bytes")
	}
	if file.Limits.Descriptors != 0 {
		d.checkAtLeast("limits.descriptors", int64(file.Limits.Descriptors), minDescriptors, "descriptors")
	}
	d.checkPositive("limits.idle", file.Limits.Idle)
	d.checkPositive("limits.stall", file.Limits.Stall)
	d.checkPositive("drain.entry-validity", file.Drain.EntryValidity)
	d.checkPositive("drain.limit", file.Drain.Limit)
}

// checkListeners checks the addresses of the listeners. They must differ, except
// that several may have port 0, which stands for any free port.
func (d *document) checkListeners(file *settingsFile) {
	listeners := []struct{ key, address string }{
		{"listen.callers", file.Listen.Callers},
		{"listen.peers", file.Listen.Peers},
		{"listen.admin", file.Listen.Admin},
	}
	owners := make(map[string]string) // address to key
	for _, l := range listeners {
		d.checkAddress(l.key, l.address)
		if owner, ok := owners[l.address]; ok && l.address != "" && !strings.HasSuffix(l.address, ":0") {
			d.errorf(l.key, "%q is also the address of %s; expected a different one", l.address, owner)
		}
		owners[l.address] = l.key
	}
}

func (d *document) checkURL(key, text string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		d.errorf(key, "%q; expected a URL like http://10.0.0.5:7000", text)
	}
}

func (d *document) checkAtLeast(key string, value, minimum int64, unit string) {
	if value < minimum {
		d.errorf(key, "%d; expected at least %d %s", value, minimum, unit)
	}
}

func (d *document) checkPositive(key string, value duration) {
	if value <= 0 {
		d.errorf(key, "%v; expected a duration greater than 0", time.Duration(value))
	}
}

// settings converts the content of a file that checkSettings accepted.
func (f *settingsFile) settings() Settings {
	var level slog.Level
	_ = level.UnmarshalText([]byte(f.LogLevel)) // checkSettings has checked it.
	return Settings{
		Instance:      lagoonstile.InstanceID(f.Instance),
		FailureDomain: lagoonstile.FailureDomain(f.FailureDomain),
		LogLevel:      level,
		CallerAddress: f.Listen.Callers,
		PeerAddress:   f.Listen.Peers,
		AdminAddress:  f.Listen.Admin,
		LogURL:        strings.TrimSuffix(f.Platform.Log, "/"),
		InstancesURL:  strings.TrimSuffix(f.Platform.Instances, "/"),
		Limits: listener.Limits{
			MaxRequestBytes: f.Limits.RequestBytes,
			MaxHeadBytes:    f.Limits.HeadBytes,
			MaxHeaders:      f.Limits.Headers,
			HeadTimeout:     time.Duration(f.Limits.HeadTime),
			BodyTimeout:     time.Duration(f.Limits.BodyPause),
			IdleTimeout:     time.Duration(f.Limits.Idle),
			StallTimeout:    time.Duration(f.Limits.Stall),
		},
		ResponseLimits: exchanger.Limits{
			MaxHeadBytes:          f.Limits.ResponseHeadBytes,
			MaxUnknownLengthBytes: f.Limits.ResponseUnknownBytes,
		},
		MemoryBytes:   f.Limits.MemoryBytes,
		Descriptors:   f.Limits.Descriptors,
		MaxInFlight:   f.Limits.InFlight,
		MaxKeys:       f.Limits.KeyTable,
		EntryValidity: time.Duration(f.Drain.EntryValidity),
		DrainLimit:    time.Duration(f.Drain.Limit),
	}
}
