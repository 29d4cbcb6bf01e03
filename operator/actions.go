package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"lagoonstile"
	"lagoonstile/auditor"
	"lagoonstile/encoder"
	"lagoonstile/locator"
)

// check reads the files and says what they hold.
func (c *Command) check(context.Context) error {
	cfg, err := c.read()
	if err != nil {
		return err
	}
	servers := 0
	for _, service := range cfg.Services {
		servers += len(service.Servers)
	}
	result := struct {
		Services int `json:"services"`
		Servers  int `json:"servers"`
	}{len(cfg.Services), servers}
	return c.print(result, func() {
		c.line("ok: %d services, %d servers", result.Services, result.Servers)
	})
}

// diff shows what a publication would change.
func (c *Command) diff(ctx context.Context) error {
	want, err := c.read()
	if err != nil {
		return err
	}
	fleet, err := c.fleet(false)
	if err != nil {
		return err
	}
	fold, err := fleet.Current(ctx)
	if err != nil {
		return err
	}
	change, different := fold.Configuration().Diff(want)
	return c.print(change, func() {
		if !different {
			c.line("no difference to version %d", change.Base)
			return
		}
		c.line("against version %d", change.Base)
		for _, service := range change.Set {
			c.explain(fold.Configuration().Services[service.ID], service)
		}
		for _, id := range change.Remove {
			c.line("- service %s", id)
		}
	})
}

// explain prints how a service changes, one line a difference.
func (c *Command) explain(before, after *lagoonstile.Service) {
	if before == nil {
		c.line("+ service %s: rank %s, %d servers", after.ID, after.Rank, len(after.Servers))
		return
	}
	c.line("~ service %s", after.ID)
	past := make(map[lagoonstile.ServerID]lagoonstile.Server)
	for _, server := range before.Servers {
		past[server.ID] = server
	}
	for _, server := range after.Servers {
		old, known := past[server.ID]
		delete(past, server.ID)
		switch {
		case !known:
			c.line("  + server %s at %s in %s", server.ID, server.Address, server.FailureDomain)
		case old != server:
			c.line("  ~ server %s: %s in %s, was %s in %s", server.ID, server.Address, server.FailureDomain, old.Address, old.FailureDomain)
		}
	}
	for _, server := range before.Servers {
		if _, gone := past[server.ID]; gone {
			c.line("  - server %s", server.ID)
		}
	}
	c.explainRules(before, after)
}

func (c *Command) explainRules(before, after *lagoonstile.Service) {
	rules := []struct {
		name        string
		before, now any
	}{
		{"rank", before.Rank, after.Rank},
		{"idempotent", before.Idempotent, after.Idempotent},
		{"routes", before.Routes, after.Routes},
		{"floor", before.Floor, after.Floor},
		{"false-ejections-per-week", before.FalseEjectionsPerWeek, after.FalseEjectionsPerWeek},
		{"deadline", before.Deadline, after.Deadline},
		{"retry-share", before.RetryShare, after.RetryShare},
		{"connections-per-server", before.ConnectionsPerServer, after.ConnectionsPerServer},
	}
	for _, rule := range rules {
		if fmt.Sprint(rule.before) != fmt.Sprint(rule.now) {
			c.line("  ~ %s: %v, was %v", rule.name, rule.now, rule.before)
		}
	}
}

// publish appends the change and tells what became of it.
func (c *Command) publish(ctx context.Context) error {
	want, err := c.read()
	if err != nil {
		return err
	}
	fleet, err := c.fleet(c.wait)
	if err != nil {
		return err
	}
	publication, err := fleet.Publish(ctx, want, c.reason)
	if err != nil {
		return err
	}
	if c.wait {
		err = fleet.Wait(ctx, &publication)
	}
	if printErr := c.print(publication, func() { c.tell(publication) }); printErr != nil {
		return printErr
	}
	return err
}

func (c *Command) tell(publication Publication) {
	if publication.Change == "" {
		c.line("no difference to version %d", publication.Version)
	} else {
		c.line("version %d (change %s)", publication.Version, publication.Change)
	}
	slices.SortFunc(publication.InForce, func(a, b Arrival) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	for _, arrival := range publication.InForce {
		c.line("  in force on %s after %d ms", arrival.Instance, arrival.AfterMs)
	}
	for _, missing := range publication.Missing {
		c.line("  not in force on %s", missing)
	}
}

// statusReport is what the status command prints of one instance.
type statusReport struct {
	Instance string          `json:"instance"`
	Error    string          `json:"error,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// instanceStatus is the part of a status that the text form shows.
type instanceStatus struct {
	Version  lagoonstile.Version `json:"version"`
	Leaving  bool                `json:"leaving"`
	Running  int                 `json:"requests-running"`
	Waiting  int                 `json:"requests-waiting"`
	Services []struct {
		Service lagoonstile.ServiceID `json:"service"`
		InUse   int                   `json:"servers-in-use"`
		Floor   int                   `json:"floor"`
		Servers []struct {
			Server lagoonstile.ServerID `json:"server"`
			State  string               `json:"state"`
			Weight float64              `json:"weight"`
		} `json:"servers"`
	} `json:"services"`
}

// status shows one instance or all of the list.
func (c *Command) status(ctx context.Context) error {
	fleet := &Fleet{}
	addresses := []lagoonstile.Instance{{ID: lagoonstile.InstanceID(c.address), AdminAddress: c.address}}
	if c.address == "" {
		full, err := c.fleet(true)
		if err != nil {
			return err
		}
		list, err := full.Instances.Instances(ctx)
		if err != nil {
			return err
		}
		fleet, addresses = full, list
	}
	var reports []statusReport
	var failed error
	for _, instance := range addresses {
		report := statusReport{Instance: string(instance.ID)}
		if err := fleet.Get(ctx, instance.AdminAddress, "/status", &report.Status); err != nil {
			report.Error = err.Error()
			failed = err
		}
		reports = append(reports, report)
	}
	err := c.print(reports, func() {
		for _, report := range reports {
			c.showStatus(report)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

func (c *Command) showStatus(report statusReport) {
	if report.Error != "" {
		c.line("%s: %s", report.Instance, report.Error)
		return
	}
	var status instanceStatus
	if err := json.Unmarshal(report.Status, &status); err != nil {
		c.line("%s: %v", report.Instance, err)
		return
	}
	c.line("%s: version %d, leaving %t, requests running %d waiting %d", report.Instance, status.Version, status.Leaving, status.Running, status.Waiting)
	for _, service := range status.Services {
		c.line("  %s: %d of %d servers in use, floor %d", service.Service, service.InUse, len(service.Servers), service.Floor)
		for _, server := range service.Servers {
			if server.State != "in-use" {
				c.line("    %s: %s, weight %.2f", server.Server, server.State, server.Weight)
			}
		}
	}
}

// entry asks an instance for an entry answer.
func (c *Command) entry(ctx context.Context) error {
	var answer locator.Answer
	path := "/lagoonstile/entry?service=" + url.QueryEscape(c.service)
	if err := (&Fleet{}).Get(ctx, c.address, path, &answer); err != nil {
		return err
	}
	return c.print(answer, func() {
		c.line("home %s, valid for %d ms", answer.Home, answer.ValidForMs)
		for _, address := range answer.Addresses {
			c.line("  %s in %s", address.Address, address.FailureDomain)
		}
	})
}

// audit reads the trail from the log.
func (c *Command) audit(ctx context.Context) error {
	fleet, err := c.fleet(false)
	if err != nil {
		return err
	}
	events, err := fleet.Trail(ctx, func(event auditor.Event) bool {
		return (c.service == "" || string(event.Service) == c.service) &&
			(c.kind == "" || string(event.Kind) == c.kind) &&
			(c.instance == "" || string(event.Instance) == c.instance) &&
			(c.since == 0 || time.Since(event.At) <= c.since)
	})
	if err != nil {
		return err
	}
	return c.print(events, func() {
		for _, event := range events {
			c.line("%s", eventLine(event))
		}
	})
}

// Trail returns the events of the audit stream that the filter lets through, by
// time. An event that was written twice is returned once.
func (f *Fleet) Trail(ctx context.Context, filter func(auditor.Event) bool) ([]auditor.Event, error) {
	events := []auditor.Event{}
	seen := make(map[auditor.Event]bool)
	from := lagoonstile.Offset(0)
	for {
		page, err := f.Log.Read(ctx, lagoonstile.StreamAudit, from, 0)
		if err != nil {
			return nil, err
		}
		from = max(from, page.First)
		for _, entry := range page.Entries {
			from = entry.Offset + 1
			var batch auditor.Batch
			if err := encoder.Decode(entry.Data, &batch); err != nil {
				continue // Not ours; the stream belongs to the users.
			}
			for _, event := range batch.Events {
				if filter(event) && !seen[event] {
					events = append(events, event)
				}
				seen[event] = true
			}
		}
		if from >= page.Next {
			slices.SortStableFunc(events, func(a, b auditor.Event) int { return a.At.Compare(b.At) })
			return events, nil
		}
	}
}

// eventLine returns an event as key=value pairs, without the empty ones.
func eventLine(event auditor.Event) string {
	pairs := []string{event.At.UTC().Format("2006-01-02T15:04:05.000Z"), string(event.Kind), "instance=" + string(event.Instance)}
	add := func(key, value string) {
		if value != "" {
			pairs = append(pairs, key+"="+value)
		}
	}
	add("service", string(event.Service))
	add("server", string(event.Server))
	if event.Version > 0 {
		add("version", fmt.Sprint(event.Version))
	}
	add("change", string(event.Change))
	add("author", event.Author)
	add("detail", event.Detail)
	return strings.Join(pairs, " ")
}

// drain asks an instance to leave.
func (c *Command) drain(ctx context.Context) error {
	if err := (&Fleet{}).Drain(ctx, c.address); err != nil {
		return err
	}
	return c.print(struct{}{}, func() { c.line("%s is leaving", c.address) })
}

// print writes a result as JSON or as the text that the function writes.
func (c *Command) print(result any, text func()) error {
	if c.output == "text" {
		text()
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	c.line("%s", data)
	return nil
}

func (c *Command) line(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Stdout, format+"\n", args...)
}
