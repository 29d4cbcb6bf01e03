package rehearser_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagoonstile/platform"
)

// process runs one instance as a process of its own, one run after the other.
type process struct {
	t        *testing.T
	binary   string
	settings platform.Settings
	// file is the path of the settings file, and logs the directory of the log, which is
	// not kept if it is empty.
	file, logs string

	mu      sync.Mutex
	current *processRun
	runs    []*processRun
}

// processRun is what happened to one run of a process. Times are zero if it did not
// happen.
type processRun struct {
	command *exec.Cmd
	started time.Time
	// termAt, killedAt and pausedAt are the times of the first signal of each kind, and
	// exitedAt the end of the run.
	termAt, killedAt, pausedAt, exitedAt time.Time
	// stopped is set while the run is paused, and resumedAt is the end of its last pause.
	stopped   bool
	resumedAt time.Time
	exited    chan struct{}
	stderr    bytes.Buffer
}

// disturbed reports whether the run was killed or paused before the given time.
func (run *processRun) disturbed(before time.Time) bool {
	return isBefore(run.killedAt, before) || isBefore(run.pausedAt, before)
}

// isBefore reports whether something happened before the given time.
func isBefore(happened, before time.Time) bool { return !happened.IsZero() && happened.Before(before) }

// buildDaemon builds the daemon and returns the path of the program.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "lagoonstile")
	output, err := exec.Command("go", "build", "-o", binary, "lagoonstile/cmd/lagoonstile").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, output)
	}
	return binary
}

// newProcess writes the settings file of a process, which is not started. The process
// is killed when the test ends.
func newProcess(t *testing.T, binary string, settings platform.Settings) *process {
	t.Helper()
	p := &process{t: t, binary: binary, settings: settings, file: filepath.Join(t.TempDir(), "boot.json"), logs: os.Getenv("LAGOONSTILE_SOAK_LOGS")}
	p.writeSettings(settings.Grace)
	t.Cleanup(func() {
		if run := p.kill(); run != nil {
			<-run.exited
		}
	})
	return p
}

// writeSettings writes the settings file with the given grace time.
func (p *process) writeSettings(grace time.Duration) {
	p.t.Helper()
	s := p.settings
	data, err := json.Marshal(map[string]any{
		"node": s.Instance, "ip": s.IP, "zone": s.FailureDomain, "bootstrap": false,
		"listen":     map[string]any{"http": s.ClientAddress, "readiness": s.ReadinessAddress, "registry": s.DirectoryAddress},
		"port_range": []int{s.PeerPort, s.PeerPort},
		"bounds": map[string]any{
			"grace_s": grace.Seconds(), "ttl_max_s": s.MaxAddressTTL.Seconds(), "retry_ratio": s.RetryBudget.Ratio,
			"retry_window_s": s.RetryBudget.Span.Seconds(), "retry_slack": s.RetryBudget.Slack,
		},
		"limits":   map[string]any{"memory_mb": s.MemoryBytes / 1_000_000, "max_fds": s.Descriptors},
		"platform": map[string]any{"address": s.StoreAddress},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	// The process may be reading the file.
	if err := errors.Join(os.WriteFile(p.file+".new", data, 0o600), os.Rename(p.file+".new", p.file)); err != nil {
		p.t.Error(err)
	}
}

// start starts a run if there is none.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		return
	}
	run := &processRun{command: exec.Command(p.binary, "platform"), started: time.Now(), exited: make(chan struct{})}
	run.command.Stderr = &run.stderr
	if log, err := p.openLog(); err != nil {
		p.t.Error(err)
	} else if log != nil {
		defer func() { _ = log.Close() }() // The run has its own descriptor.
		run.command.Stdout = log
	}
	run.command.Env = append(os.Environ(), platform.EnvSettings+"="+p.file)
	if err := run.command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.current = run
	p.runs = append(p.runs, run)
	go p.await(run)
}

// openLog opens the file to which a run appends its log: one for each process, in the
// directory for logs. Without it, there is none.
func (p *process) openLog() (*os.File, error) {
	if p.logs == "" {
		return nil, nil
	}
	return os.OpenFile(filepath.Join(p.logs, string(p.settings.Instance)+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
}

// await records the end of a run.
func (p *process) await(run *processRun) {
	err := run.command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	run.exitedAt = time.Now()
	p.current = nil
	close(run.exited)
	// A run that has just started does not handle SIGTERM yet.
	status, _ := run.command.ProcessState.Sys().(syscall.WaitStatus)
	if err != nil && run.killedAt.IsZero() && status.Signal() != syscall.SIGTERM {
		p.t.Errorf("%s ended by itself: %v\n%s", p.settings.Instance, err, run.stderr.String())
	}
}

// signal sends a signal to the run, if there is one, and records when this was first
// done in the field that the function returns.
func (p *process) signal(signal syscall.Signal, field func(*processRun) *time.Time) *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.current
	if run == nil {
		return nil
	}
	if at := field(run); at.IsZero() {
		*at = time.Now()
	}
	_ = run.command.Process.Signal(signal) // It may have ended.
	return run
}

// kill ends the run at once.
func (p *process) kill() *processRun {
	return p.signal(syscall.SIGKILL, func(run *processRun) *time.Time { return &run.killedAt })
}

// terminate asks the run to shut down gracefully.
func (p *process) terminate() *processRun {
	return p.signal(syscall.SIGTERM, func(run *processRun) *time.Time { return &run.termAt })
}

// awaitExit waits for the end of a run that was asked to shut down. A run that takes
// longer than its grace time is made to write its stacks and end.
func (p *process) awaitExit(run *processRun) {
	for asked := time.Now(); ; {
		left := time.Until(p.graceEnd(run, asked))
		if left <= 0 {
			break
		}
		select {
		case <-run.exited:
			return
		case <-time.After(left):
		}
	}
	p.signal(syscall.SIGQUIT, func(*processRun) *time.Time { return new(time.Time) })
	<-run.exited
}

// graceEnd returns the end of the grace time of a run that was asked to shut down. A run
// that is paused does not know of it: its time begins when it goes on.
func (p *process) graceEnd(run *processRun, asked time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := asked
	if run.resumedAt.After(since) {
		since = run.resumedAt
	}
	if run.stopped {
		since = time.Now()
	}
	return since.Add(p.settings.Grace)
}

// pause stops the run for a time.
func (p *process) pause(length time.Duration) {
	run := p.signal(syscall.SIGSTOP, func(run *processRun) *time.Time { return &run.pausedAt })
	if run == nil {
		return
	}
	p.setStopped(run, true)
	time.Sleep(length)
	p.signal(syscall.SIGCONT, func(*processRun) *time.Time { return new(time.Time) })
	p.setStopped(run, false)
}

// setStopped records that a run is paused, or goes on.
func (p *process) setStopped(run *processRun, stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.stopped = stopped
	if !stopped {
		run.resumedAt = time.Now()
	}
}

// reload tells the run that its settings have changed.
func (p *process) reload() {
	p.signal(syscall.SIGHUP, func(*processRun) *time.Time { return new(time.Time) })
}

// runAt returns a copy of the run at a time, or nil if there was none.
func (p *process) runAt(at time.Time) *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, run := range p.runs {
		if !at.Before(run.started) && (run.exitedAt.IsZero() || at.Before(run.exitedAt)) {
			return &processRun{started: run.started, termAt: run.termAt, killedAt: run.killedAt, pausedAt: run.pausedAt, exitedAt: run.exitedAt}
		}
	}
	return nil
}
