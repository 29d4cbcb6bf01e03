package loader

import (
	"log/slog"
	"net/url"
	"strings"
	"time"

	"lagoonstile"
	"lagoonstile/listener"
)

// Settings are what one instance is told when it starts.
type Settings struct {
	Instance      lagoonstile.InstanceID
	FailureDomain lagoonstile.FailureDomain
	LogLevel      slog.Level
	// Callers, Peers and Admin are the IP:port of the three listeners.
	Callers, Peers, Admin string
	// LogURL and InstancesURL are the platform's services.
	LogURL, InstancesURL string
	Limits               listener.Limits
	// InFlight bounds the requests in flight over all services.
	InFlight int
	// KeyTable bounds the order keys that are remembered.
	KeyTable int
	// EntryValidity is how long callers keep an entry answer.
	EntryValidity time.Duration
	// DrainLimit ends a graceful shutdown that has not ended by itself.
	DrainLimit time.Duration
}

// Defaults of settings.
const (
	DefaultInFlight      = 2048
	DefaultKeyTable      = 100_000
	DefaultEntryValidity = 5 * time.Second
	DefaultDrainLimit    = time.Minute
)

// settingsFile is the form of a settings file.
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
		RequestBytes int  `toml:"request-bytes"`
		Headers      int  `toml:"headers"`
		Idle         span `toml:"idle"`
		Stall        span `toml:"stall"`
		InFlight     int  `toml:"in-flight"`
		KeyTable     int  `toml:"key-table"`
	} `toml:"limits"`
	Drain struct {
		EntryValidity span `toml:"entry-validity"`
		Limit         span `toml:"limit"`
	} `toml:"drain"`
}

// ReadSettings reads and checks a settings file. The error is Problems when the
// file could be read.
func ReadSettings(file string) (Settings, error) {
	form := settingsFile{LogLevel: "info"}
	form.Limits.RequestBytes = listener.DefaultLimits.RequestBytes
	form.Limits.Headers = listener.DefaultLimits.Headers
	form.Limits.Idle = span(listener.DefaultLimits.Idle)
	form.Limits.Stall = span(listener.DefaultLimits.Stall)
	form.Limits.InFlight = DefaultInFlight
	form.Limits.KeyTable = DefaultKeyTable
	form.Drain.EntryValidity = span(DefaultEntryValidity)
	form.Drain.Limit = span(DefaultDrainLimit)
	doc, err := read(file, &form)
	if err != nil {
		return Settings{}, err
	}
	if doc.err() == nil {
		doc.checkSettings(&form)
	}
	if err := doc.err(); err != nil {
		return Settings{}, err
	}
	return form.settings(), nil
}

func (d *document) checkSettings(form *settingsFile) {
	if form.Instance == "" || strings.ContainsAny(form.Instance, ". /") {
		d.wrong("instance", "%q; expected a name without dots, spaces and slashes", form.Instance)
	}
	if form.FailureDomain == "" {
		d.wrong("failure-domain", "missing; expected the name of the failure domain")
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(form.LogLevel)); err != nil {
		d.wrong("log-level", "%q; expected debug, info, warn or error", form.LogLevel)
	}
	d.checkListeners(form)
	d.service("platform.log", form.Platform.Log)
	d.service("platform.instances", form.Platform.Instances)
	d.atLeast("limits.request-bytes", int64(form.Limits.RequestBytes), 1024, "bytes")
	d.atLeast("limits.headers", int64(form.Limits.Headers), 1, "header lines")
	d.atLeast("limits.in-flight", int64(form.Limits.InFlight), 1, "requests")
	d.atLeast("limits.key-table", int64(form.Limits.KeyTable), 1, "keys")
	d.positive("limits.idle", form.Limits.Idle)
	d.positive("limits.stall", form.Limits.Stall)
	d.positive("drain.entry-validity", form.Drain.EntryValidity)
	d.positive("drain.limit", form.Drain.Limit)
}

func (d *document) checkListeners(form *settingsFile) {
	listeners := []struct{ key, address string }{
		{"listen.callers", form.Listen.Callers},
		{"listen.peers", form.Listen.Peers},
		{"listen.admin", form.Listen.Admin},
	}
	owners := make(map[string]string)
	for _, l := range listeners {
		d.address(l.key, l.address)
		if owner, ok := owners[l.address]; ok && l.address != "" && !strings.HasSuffix(l.address, ":0") {
			d.wrong(l.key, "%q is the address of %s too; expected one of its own", l.address, owner)
		}
		owners[l.address] = l.key
	}
}

func (d *document) service(key, text string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		d.wrong(key, "%q; expected a URL like http://10.0.0.5:7000", text)
	}
}

func (d *document) atLeast(key string, value, least int64, unit string) {
	if value < least {
		d.wrong(key, "%d; expected at least %d %s", value, least, unit)
	}
}

func (d *document) positive(key string, value span) {
	if value <= 0 {
		d.wrong(key, "%v; expected a time over 0", time.Duration(value))
	}
}

func (f *settingsFile) settings() Settings {
	var level slog.Level
	_ = level.UnmarshalText([]byte(f.LogLevel)) // It was checked.
	return Settings{
		Instance:      lagoonstile.InstanceID(f.Instance),
		FailureDomain: lagoonstile.FailureDomain(f.FailureDomain),
		LogLevel:      level,
		Callers:       f.Listen.Callers,
		Peers:         f.Listen.Peers,
		Admin:         f.Listen.Admin,
		LogURL:        strings.TrimSuffix(f.Platform.Log, "/"),
		InstancesURL:  strings.TrimSuffix(f.Platform.Instances, "/"),
		Limits: listener.Limits{
			RequestBytes: f.Limits.RequestBytes,
			Headers:      f.Limits.Headers,
			Idle:         time.Duration(f.Limits.Idle),
			Stall:        time.Duration(f.Limits.Stall),
		},
		InFlight:      f.Limits.InFlight,
		KeyTable:      f.Limits.KeyTable,
		EntryValidity: time.Duration(f.Drain.EntryValidity),
		DrainLimit:    time.Duration(f.Drain.Limit),
	}
}
