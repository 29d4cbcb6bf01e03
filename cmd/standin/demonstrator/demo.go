// Package demonstrator runs a whole fleet in one process: the platform's
// stand-ins, servers, several instances through the daemon's own code, and
// callers. It is the demo, and what tests and benchmarks of the whole path
// stand on.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"lagoonstile"
)

// ConsorzioRules are the rules of the demo.
const ConsorzioRules = `
[[rule]]
service = "stock"
rank = "lookups"
idempotent = true
false-ejections-per-week = 1.0
[[rule.route]]
path-prefix = "/stock"

[[rule]]
service = "catalogues"
rank = "downloads"
idempotent = true
false-ejections-per-week = 1.0
[[rule.route]]
path-prefix = "/download"
`

// Consorzio returns the plan of a small Consorzio.
func Consorzio(dir string) Plan {
	return Plan{
		Domains: []lagoonstile.FailureDomain{"nord-a", "nord-b", "nord-c"},
		Groups: []Group{
			{Service: "stock", Prefix: "stock", Count: 8, Work: 5 * time.Millisecond},
			{Service: "catalogues", Prefix: "catalogue", Count: 6, Work: 10 * time.Millisecond},
		},
		Rules:     ConsorzioRules,
		Instances: 3,
		Retention: time.Hour,
		Dir:       dir,
	}
}

// Run runs the demo and reports to out. The error says which promise was
// broken.
func Run(ctx context.Context, out io.Writer, dir string) error {
	fleet, err := Start(Consorzio(dir))
	if err != nil {
		return err
	}
	defer fleet.Stop()
	publication, err := fleet.Publish(ctx, fleet.Inventory())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "version %d in force on %d instances\n", publication.Version, len(publication.InForce))
	whole := 0
	for _, instance := range fleet.Instances() {
		res, err := http.Get("http://" + instance.CallerAddress() + "/stock/7")
		if err != nil {
			return err
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK || len(body) == 0 {
			return fmt.Errorf("lookup: status %d, %d bytes, %w", res.StatusCode, len(body), err)
		}
		whole++
	}
	_, _ = fmt.Fprintf(out, "lookups: %d whole answers\n", whole)
	return nil
}
