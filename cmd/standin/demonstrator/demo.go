// Package demonstrator runs a whole fleet in one process: stand-ins for the
// platform and the servers, several instances that run the daemon's code, and
// callers. The demo and the tests and benchmarks of the complete request path are
// built on it.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lagoonstile"
	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/controller"
	"lagoonstile/ejector"
)

// consorzioRules is the rules file of the demo.
const consorzioRules = `
[[rule]]
service = "stock"
rank = "lookups"
idempotent = true
false-ejections-per-week = 1.0
deadline = "5s"
[[rule.route]]
path-prefix = "/stock"

[[rule]]
service = "orders"
rank = "orders"
idempotent = false
false-ejections-per-week = 1.0
[[rule.route]]
path-prefix = "/orders"

[[rule]]
service = "catalogues"
rank = "downloads"
idempotent = true
false-ejections-per-week = 1.0
deadline = "1m"
[[rule.route]]
path-prefix = "/download"
`

// Consorzio returns the configuration of a fleet with the services of one of the
// users, the Consorzio, in their current sizes, and the given number of instances.
// Files are written to dir.
func Consorzio(dir string, instances int) Config {
	return Config{
		Domains: []lagoonstile.FailureDomain{"nord-a", "nord-b", "nord-c"},
		Groups: []ServerGroup{
			{Service: "stock", Prefix: "stock", Count: 8, ServiceTime: 5 * time.Millisecond},
			{Service: "orders", Prefix: "order", Count: 17, ServiceTime: 10 * time.Millisecond},
			{Service: "catalogues", Prefix: "catalogue", Count: 6, ServiceTime: 10 * time.Millisecond},
		},
		Rules:     consorzioRules,
		Instances: instances,
		Retention: time.Hour,
		Dir:       dir,
	}
}

// consorzioWorkloads are the requests that callers send in the demo.
var consorzioWorkloads = []Workload{
	{Rank: lagoonstile.RankOrders, Service: "orders", PerSecond: 50, Deadline: 5 * time.Second},
	{Rank: lagoonstile.RankLookups, Service: "stock", PerSecond: 200, Deadline: 5 * time.Second},
	{Rank: lagoonstile.RankDownloads, Service: "catalogues", PerSecond: 10, Bytes: 1 << 20, Deadline: 20 * time.Second},
}

// Timing of the demo.
const (
	// scenarioPause is the time between two steps of the scenario.
	scenarioPause = 2 * time.Second
	// detectionLimit is how long the demo waits for all instances to detect the
	// failing server.
	detectionLimit = 10 * time.Second
)

// Report is the result of the demo.
type Report struct {
	Tallies map[lagoonstile.Rank]Tally
	// Doubled counts orders that ran more than once.
	Doubled int
	// InForceAfter is how long it took until the configuration change during the
	// demo was in force on all instances.
	InForceAfter time.Duration
	// DetectionTime is how long it took until the failing server was neither in use
	// nor warming on any instance, at most detectionLimit.
	DetectionTime time.Duration
	// LateRequests counts requests that a leaving server got more than
	// emulator.DrainNoticeLimit after the first one that it shed, which told the first
	// instance that it was leaving.
	LateRequests int
}

// Run runs the demo and writes its report to out. The error names the guarantees
// that were violated.
func Run(ctx context.Context, out io.Writer, dir string) error {
	report, err := runDemo(ctx, out, dir)
	if err != nil {
		return err
	}
	report.print(out)
	return errors.Join(report.violations()...)
}

// runDemo runs the scenario while callers send requests, and returns the report
// without checking it for violations.
func runDemo(ctx context.Context, out io.Writer, dir string) (*Report, error) {
	fleet, err := Start(Consorzio(dir, 4))
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	if _, err := fleet.Publish(ctx, fleet.Inventory()); err != nil {
		return nil, err
	}
	traffic := NewTraffic(fleet.CallerAddresses(), fleet.Ledger.Runs)
	sending, stop := context.WithCancel(ctx)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		traffic.Send(sending, consorzioWorkloads)
	}()
	report := &Report{}
	err = runScenario(ctx, out, fleet, report)
	stop()
	<-sent
	report.Doubled = fleet.Ledger.DoubledCount()
	report.collectTallies(traffic)
	return report, err
}

// runScenario publishes a change, injects faults and replaces instances. It records
// the measured times and the late requests in the report.
func runScenario(ctx context.Context, out io.Writer, fleet *Fleet, report *Report) error {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	wait(ctx, scenarioPause)
	printf("publish: server stock-8 leaves the inventory")
	publication, err := fleet.Publish(ctx, fleet.Inventory("stock-8"))
	if err != nil {
		return err
	}
	for _, activation := range publication.InForce {
		report.InForceAfter = max(report.InForceAfter, time.Duration(activation.AfterMs)*time.Millisecond)
	}
	printf("fault: stock-3 fails half of its work while its health endpoint is fine")
	fleet.Server("stock-3").SetFaults(emulator.ServerFaults{Mode: emulator.ModeErrors, Share: 0.5})
	report.DetectionTime = awaitEjection(ctx, fleet, "stock", "stock-3")
	printf("leaving: order-5 drains")
	fleet.Server("order-5").Drain()
	wait(ctx, 2*scenarioPause)
	printf("shutdown: one instance leaves gracefully, another takes its place")
	if err := replaceInstance(ctx, fleet); err != nil {
		return err
	}
	printf("crash: one instance ends without a word, another takes its place")
	fleet.Crash(fleet.Instances()[0])
	if _, err := fleet.AddInstance(); err != nil {
		return err
	}
	wait(ctx, scenarioPause)
	report.LateRequests = fleet.Ledger.Server("order-5").LateRequests
	return nil
}

// replaceInstance starts a new instance and drains the first of the others.
func replaceInstance(ctx context.Context, fleet *Fleet) error {
	if _, err := fleet.AddInstance(); err != nil {
		return err
	}
	return fleet.Drain(ctx, fleet.Instances()[0])
}

// awaitEjection waits until a server is neither in use nor warming on any instance,
// and returns how long that took, at most detectionLimit.
func awaitEjection(ctx context.Context, fleet *Fleet, service lagoonstile.ServiceID, server lagoonstile.ServerID) time.Duration {
	start := time.Now()
	for time.Since(start) < detectionLimit {
		using := 0
		for _, instance := range fleet.Instances() {
			if uses(instance.Status().Services, service, server) {
				using++
			}
		}
		if using == 0 {
			return time.Since(start)
		}
		wait(ctx, 10*time.Millisecond)
	}
	return detectionLimit
}

// uses reports whether a server is in use or warming, given the status of an
// instance's services.
func uses(services []controller.ServiceStatus, service lagoonstile.ServiceID, server lagoonstile.ServerID) bool {
	for _, s := range services {
		if s.Service != service {
			continue
		}
		for _, v := range s.Servers {
			if v.Server == server {
				return v.State == ejector.StateInUse || v.State == ejector.StateWarming
			}
		}
	}
	return false
}

// collectTallies copies the tallies of the traffic into the report.
func (r *Report) collectTallies(traffic *Traffic) {
	r.Tallies = make(map[lagoonstile.Rank]Tally)
	for _, rank := range lagoonstile.Ranks() {
		r.Tallies[rank] = traffic.Tally(rank)
	}
}

// print writes the whole report.
func (r *Report) print(out io.Writer) {
	r.printTallies(out)
	_, _ = fmt.Fprintf(out, "detection of the failing server: %s\n", r.DetectionTime.Round(time.Millisecond))
	_, _ = fmt.Fprintf(out, "change in force everywhere after: %s\n", r.InForceAfter.Round(time.Millisecond))
	_, _ = fmt.Fprintf(out, "requests to a leaving server later than %s after the fleet could know: %d\n", emulator.DrainNoticeLimit, r.LateRequests)
}

// printTallies writes the results that callers saw and the checks on orders.
func (r *Report) printTallies(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "rank\trequests\twhole\tp50\tp99\tnot-run\tunknown\tfailed\t")
	for _, rank := range lagoonstile.Ranks() {
		tally := r.Tallies[rank]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t\n", rank, tally.Requests, tally.Correct,
			tally.Percentile(0.5).Round(100*time.Microsecond), tally.Percentile(0.99).Round(100*time.Microsecond),
			tally.NotRun, tally.Unknown, tally.Failed)
	}
	_ = table.Flush()
	for _, rank := range lagoonstile.Ranks() {
		for _, text := range r.Tallies[rank].Errors {
			_, _ = fmt.Fprintf(out, "  %s: %s\n", rank, text)
		}
	}
	_, _ = fmt.Fprintf(out, "doubled orders: %d\n", r.Doubled)
	_, _ = fmt.Fprintf(out, "orders told not-run that ran: %d\n", r.Tallies[lagoonstile.RankOrders].FalseNotRun)
}

// violations returns an error for each violated guarantee.
func (r *Report) violations() []error {
	violations := r.safetyViolations()
	if r.LateRequests > 0 {
		violations = append(violations, fmt.Errorf("a leaving server got %d late requests", r.LateRequests))
	}
	return violations
}

// safetyViolations returns an error for each violated guarantee that must hold even
// on a slow machine.
func (r *Report) safetyViolations() []error {
	var violations []error
	if r.Doubled > 0 {
		violations = append(violations, fmt.Errorf("%d orders ran more than once", r.Doubled))
	}
	for _, rank := range lagoonstile.Ranks() {
		tally := r.Tallies[rank]
		if tally.WrongAnswers > 0 {
			violations = append(violations, fmt.Errorf("%s: %d answers were incomplete or belonged to another request", rank, tally.WrongAnswers))
		}
		if tally.FalseNotRun > 0 {
			violations = append(violations, fmt.Errorf("%s: %d requests ran although they were answered as not-run", rank, tally.FalseNotRun))
		}
		if tally.Correct == 0 {
			violations = append(violations, fmt.Errorf("%s: no complete answer", rank))
		}
	}
	return violations
}

// wait returns after d or when the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
