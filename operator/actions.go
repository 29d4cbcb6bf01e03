package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"lagoonstile"
	"lagoonstile/auditor"
	"lagoonstile/encoder"
	"lagoonstile/locator"
	"lagoonstile/throttler"
)

// check reads the files and prints the numbers of services and servers.
func (c *Command) check(context.Context) error {
	cfg, err := c.readConfiguration()
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
		Accounts int `json:"accounts"`
	}{len(cfg.Services), servers, len(cfg.Accounts)}
	return c.printResult(result, func() {
		c.printLine("ok: %d services, %d servers, %d accounts", result.Services, result.Servers, result.Accounts)
	})
}

// diff prints what publishing the files would change.
func (c *Command) diff(ctx context.Context) error {
	want, err := c.readConfiguration()
	if err != nil {
		return err
	}
	client, err := c.newClient(false)
	if err != nil {
		return err
	}
	replica, err := client.Current(ctx)
	if err != nil {
		return err
	}
	change, different := replica.Configuration().Diff(want)
	return c.printResult(change, func() {
		if !different {
			c.printLine("no difference to version %d", change.Base)
			return
		}
		c.printLine("against version %d", change.Base)
		for _, service := range change.Set {
			c.printServiceDiff(replica.Configuration().Services[service.ID], service)
		}
		for _, id := range change.Remove {
			c.printLine("- service %s", id)
		}
		if change.Accounts != nil {
			c.printAccountDiff(replica.Configuration().Accounts, *change.Accounts)
		}
	})
}

// printAccountDiff prints one line for each client account that differs.
func (c *Command) printAccountDiff(before, after []lagoonstile.Account) {
	removed := make(map[lagoonstile.CallerID]lagoonstile.Account)
	for _, account := range before {
		removed[account.ID] = account
	}
	for _, account := range after {
		old, known := removed[account.ID]
		delete(removed, account.ID)
		switch {
		case !known:
			c.printLine("+ account %s: %d keys", account.ID, len(account.Keys))
		case !reflect.DeepEqual(old, account):
			c.printLine("~ account %s: %s, was %s", account.ID, accountText(account), accountText(old))
		}
	}
	for _, account := range before {
		if _, ok := removed[account.ID]; ok {
			c.printLine("- account %s", account.ID)
		}
	}
}

// accountText describes the rules of an account.
func accountText(account lagoonstile.Account) string {
	rank := "of the service"
	if account.Priority != nil {
		rank = string(lagoonstile.RankOfPriority(*account.Priority))
	}
	return fmt.Sprintf("keys %v, rank %s, rate %g/s, burst %g", account.Keys, rank, account.Quota.Rate, account.Quota.Burst)
}

// printServiceDiff prints how a service changes, with one line for each
// difference. before is nil if the service is new.
func (c *Command) printServiceDiff(before, after *lagoonstile.Service) {
	if before == nil {
		c.printLine("+ service %s: rank %s, %d servers", after.ID, after.Rank, len(after.Servers))
		return
	}
	c.printLine("~ service %s", after.ID)
	// removed holds the servers of before that are not found in after.
	removed := make(map[lagoonstile.ServerID]lagoonstile.Server)
	for _, server := range before.Servers {
		removed[server.ID] = server
	}
	for _, server := range after.Servers {
		old, known := removed[server.ID]
		delete(removed, server.ID)
		switch {
		case !known:
			c.printLine("  + server %s at %s in %s", server.ID, server.Address, server.FailureDomain)
		case old != server:
			c.printLine("  ~ server %s: %s in %s, was %s in %s", server.ID, server.Address, server.FailureDomain, old.Address, old.FailureDomain)
		}
	}
	for _, server := range before.Servers {
		if _, ok := removed[server.ID]; ok {
			c.printLine("  - server %s", server.ID)
		}
	}
	c.printRuleDiff(before, after)
}

// printRuleDiff prints one line for each rule of a service that changes.
func (c *Command) printRuleDiff(before, after *lagoonstile.Service) {
	rules := []struct {
		name          string
		before, after any
	}{
		{"rank", before.Rank, after.Rank},
		{"idempotent", before.Idempotent, after.Idempotent},
		{"public", before.Public, after.Public},
		{"routes", before.Routes, after.Routes},
		{"floor", before.Floor, after.Floor},
		{"false-ejections-per-week", before.FalseEjectionsPerWeek, after.FalseEjectionsPerWeek},
		{"deadline", before.Deadline, after.Deadline},
		{"retry-share", before.RetryShare, after.RetryShare},
		{"connections-per-server", before.ConnectionsPerServer, after.ConnectionsPerServer},
	}
	for _, rule := range rules {
		if fmt.Sprint(rule.before) != fmt.Sprint(rule.after) {
			c.printLine("  ~ %s: %v, was %v", rule.name, rule.after, rule.before)
		}
	}
}

// publish publishes the files, waits until the change is in force if --wait is
// set, and prints the result.
func (c *Command) publish(ctx context.Context) error {
	want, err := c.readConfiguration()
	if err != nil {
		return err
	}
	client, err := c.newClient(c.wait)
	if err != nil {
		return err
	}
	publication, err := client.Publish(ctx, want, c.reason)
	if err != nil {
		return err
	}
	if c.wait {
		err = client.Wait(ctx, &publication)
	}
	if printErr := c.printResult(publication, func() { c.printPublication(publication) }); printErr != nil {
		return printErr
	}
	return err
}

// printPublication prints a publication as text.
func (c *Command) printPublication(publication Publication) {
	if publication.Change == "" {
		c.printLine("no difference to version %d", publication.Version)
	} else {
		c.printLine("version %d (change %s)", publication.Version, publication.Change)
	}
	slices.SortFunc(publication.InForce, func(a, b Activation) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	for _, activation := range publication.InForce {
		c.printLine("  in force on %s after %d ms", activation.Instance, activation.AfterMs)
	}
	for _, missing := range publication.Missing {
		c.printLine("  not in force on %s", missing)
	}
}

// statusReport is the result of the status command for one instance.
type statusReport struct {
	Instance string          `json:"instance"`
	Error    string          `json:"error,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// instanceStatus is the part of an instance's status that the text output shows.
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
	Accounts []throttler.Usage `json:"accounts"`
}

// status prints the status of the instance at the given address, or else of every
// instance of the instance list. An instance that does not answer is printed with
// its error, and makes the command fail.
func (c *Command) status(ctx context.Context) error {
	client := &Client{}
	instances := []lagoonstile.Instance{{ID: lagoonstile.InstanceID(c.address), AdminAddress: c.address}}
	if c.address == "" {
		listClient, err := c.newClient(true)
		if err != nil {
			return err
		}
		list, err := listClient.Instances.Instances(ctx)
		if err != nil {
			return err
		}
		client, instances = listClient, list
	}
	var reports []statusReport
	var lastErr error
	for _, instance := range instances {
		report := statusReport{Instance: string(instance.ID)}
		if err := client.Get(ctx, instance.AdminAddress, "/status", &report.Status); err != nil {
			report.Error = err.Error()
			lastErr = err
		}
		reports = append(reports, report)
	}
	err := c.printResult(reports, func() {
		for _, report := range reports {
			c.printStatus(report)
		}
	})
	if err != nil {
		return err
	}
	return lastErr
}

// printStatus prints the status of one instance as text. It lists only those
// servers that are not in use.
func (c *Command) printStatus(report statusReport) {
	if report.Error != "" {
		c.printLine("%s: %s", report.Instance, report.Error)
		return
	}
	var status instanceStatus
	if err := json.Unmarshal(report.Status, &status); err != nil {
		c.printLine("%s: %v", report.Instance, err)
		return
	}
	c.printLine("%s: version %d, leaving %t, requests running %d waiting %d", report.Instance, status.Version, status.Leaving, status.Running, status.Waiting)
	for _, service := range status.Services {
		c.printLine("  %s: %d of %d servers in use, floor %d", service.Service, service.InUse, len(service.Servers), service.Floor)
		for _, server := range service.Servers {
			if server.State != "in-use" {
				c.printLine("    %s: %s, weight %.2f", server.Server, server.State, server.Weight)
			}
		}
	}
	c.printAccounts(status.Accounts)
}

// maxPrintedAccounts bounds the client accounts that the text output lists for one
// instance.
const maxPrintedAccounts = 20

// printAccounts prints the use of the quotas at one instance.
func (c *Command) printAccounts(usages []throttler.Usage) {
	for i, usage := range usages {
		if i == maxPrintedAccounts {
			c.printLine("  %d more accounts", len(usages)-i)
			return
		}
		c.printLine("  account %s: limit %g/s and %g at once, %.0f%% of it held here, requests granted %d refused %d",
			usage.Account, usage.Quota.Rate, usage.Quota.Burst, 100*usage.Share, usage.Granted, usage.Refused)
	}
}

// entry asks an instance for an entry answer, which names the addresses that
// callers of a service should use, and prints it.
func (c *Command) entry(ctx context.Context) error {
	var answer locator.Answer
	path := "/lagoonstile/entry?service=" + url.QueryEscape(c.service)
	if err := (&Client{}).Get(ctx, c.address, path, &answer); err != nil {
		return err
	}
	return c.printResult(answer, func() {
		c.printLine("home %s, valid for %d ms", answer.Home, answer.ValidForMs)
		for _, address := range answer.Addresses {
			c.printLine("  %s in %s", address.Address, address.FailureDomain)
		}
	})
}

// audit prints the events of the audit trail that match the flags.
func (c *Command) audit(ctx context.Context) error {
	client, err := c.newClient(false)
	if err != nil {
		return err
	}
	events, err := client.AuditEvents(ctx, func(event auditor.Event) bool {
		return (c.service == "" || string(event.Service) == c.service) &&
			(c.kind == "" || string(event.Kind) == c.kind) &&
			(c.instance == "" || string(event.Instance) == c.instance) &&
			(c.since == 0 || time.Since(event.At) <= c.since)
	})
	if err != nil {
		return err
	}
	return c.printResult(events, func() {
		for _, event := range events {
			c.printLine("%s", eventLine(event))
		}
	})
}

// AuditEvents returns the events of the audit stream for which filter returns
// true, sorted by time. An event that was appended twice is returned once.
// Records that are not batches of events are skipped.
func (client *Client) AuditEvents(ctx context.Context, filter func(auditor.Event) bool) ([]auditor.Event, error) {
	events := []auditor.Event{}
	seen := make(map[auditor.Event]bool)
	from := lagoonstile.Offset(0)
	for {
		page, err := client.Log.Read(ctx, lagoonstile.StreamAudit, from, 0)
		if err != nil {
			return nil, err
		}
		from = max(from, page.First)
		for _, entry := range page.Entries {
			from = entry.Offset + 1
			var batch auditor.Batch
			if err := encoder.Decode(entry.Data, &batch); err != nil {
				continue // The stream belongs to the users and may hold other records.
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

// eventLine returns an event as a line of text: its time, its kind, and key=value
// pairs for the other fields that are not empty.
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

// drain makes an instance leave the fleet gracefully.
func (c *Command) drain(ctx context.Context) error {
	if err := (&Client{}).Drain(ctx, c.address); err != nil {
		return err
	}
	return c.printResult(struct{}{}, func() { c.printLine("%s is leaving", c.address) })
}

// printResult prints a result as JSON, or calls text to print it as text,
// depending on --output.
func (c *Command) printResult(result any, text func()) error {
	if c.output == "text" {
		text()
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	c.printLine("%s", data)
	return nil
}

func (c *Command) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Stdout, format+"\n", args...)
}
