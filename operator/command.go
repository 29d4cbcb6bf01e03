package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lagoonstile"
	"lagoonstile/connector"
	"lagoonstile/loader"
)

// Exit codes of lagoonctl.
const (
	ExitOK = 0
	// ExitRefused means that the change did not take effect because another
	// one came first, or that the change or the files are invalid.
	ExitRefused = 1
	// ExitUsage means that the command line is wrong or that it names a file
	// that cannot be read.
	ExitUsage = 2
	// ExitUnavailable means that a platform service or an instance did not
	// answer as expected.
	ExitUnavailable = 3
	// ExitNotInForce means that the timeout passed before the change was in
	// force on every live instance.
	ExitNotInForce = 4
)

// Command is one run of lagoonctl. The unexported fields are set from flags and
// arguments.
type Command struct {
	Stdout, Stderr io.Writer

	logURL, instancesURL     string
	inventoryPath, rulesPath string
	reason                   string
	wait                     bool
	timeout                  time.Duration
	output                   string
	address                  string
	service                  string
	kind                     string
	instance                 string
	since                    time.Duration
}

// Run parses the arguments, runs the command that they name, and returns the exit
// code. Errors and usage go to Stderr. Invalid input does not make it panic.
func (c *Command) Run(ctx context.Context, args []string) int {
	app := kingpin.New("lagoonctl", "Operates a lagoonstile fleet.")
	app.UsageWriter(c.Stderr).ErrorWriter(c.Stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	run := c.defineCommands(app)
	name, err := app.Parse(args)
	if terminated {
		return ExitOK
	}
	if err != nil {
		c.printError(err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.exitCode(run[name](ctx))
}

// defineCommands defines the flags and commands and returns the function of each
// command, by the command's full name.
func (c *Command) defineCommands(app *kingpin.Application) map[string]func(context.Context) error {
	app.Flag("log", "URL of the log service.").Envar("LAGOONSTILE_LOG").StringVar(&c.logURL)
	app.Flag("instances", "URL of the instance list.").Envar("LAGOONSTILE_INSTANCES").StringVar(&c.instancesURL)
	app.Flag("output", "How results are printed: text or json.").Default("text").EnumVar(&c.output, "text", "json")
	app.Flag("timeout", "How long to keep trying.").Default("30s").DurationVar(&c.timeout)
	check := app.Command("check", "Checks an inventory and rules without publishing them.")
	diff := app.Command("diff", "Shows what publishing would change.")
	publish := app.Command("publish", "Publishes an inventory and rules.")
	for _, command := range []*kingpin.CmdClause{check, diff, publish} {
		command.Flag("inventory", "Inventory file.").Required().StringVar(&c.inventoryPath)
		command.Flag("rules", "Rules file.").Required().StringVar(&c.rulesPath)
	}
	publish.Flag("wait", "Wait until the change is in force on every live instance.").BoolVar(&c.wait)
	publish.Flag("reason", "Reason for the change, stored with it.").StringVar(&c.reason)
	status := app.Command("status", "Shows the state of every instance, or of one.")
	status.Arg("admin-address", "IP:port of one instance's admin listener.").StringVar(&c.address)
	entry := app.Command("entry", "Asks an instance which addresses callers should use.")
	entry.Arg("caller-address", "IP:port of an instance's listener for callers.").Required().StringVar(&c.address)
	entry.Arg("service", "Name of the service.").Required().StringVar(&c.service)
	audit := app.Command("audit", "Reads the audit trail.")
	audit.Flag("service", "Only events of this service.").StringVar(&c.service)
	audit.Flag("kind", "Only events of this kind.").StringVar(&c.kind)
	audit.Flag("instance", "Only events of this instance.").StringVar(&c.instance)
	audit.Flag("since", "Only events that are not older than this, such as 1h.").DurationVar(&c.since)
	drain := app.Command("drain", "Makes an instance leave the fleet gracefully.")
	drain.Arg("admin-address", "IP:port of the instance's admin listener.").Required().StringVar(&c.address)
	return map[string]func(context.Context) error{
		check.FullCommand():   c.check,
		diff.FullCommand():    c.diff,
		publish.FullCommand(): c.publish,
		status.FullCommand():  c.status,
		entry.FullCommand():   c.entry,
		audit.FullCommand():   c.audit,
		drain.FullCommand():   c.drain,
	}
}

// errUsage is wrapped by errors that the operator can fix by changing the command
// line.
var errUsage = errors.New("usage")

// exitCode prints err, unless it is nil, and returns the exit code for it.
func (c *Command) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	c.printError(err)
	var problems loader.Problems
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &problems), errors.Is(err, ErrConflict), errors.Is(err, ErrInvalid):
		return ExitRefused
	case errors.Is(err, ErrNotInForce):
		return ExitNotInForce
	}
	return ExitUnavailable
}

func (c *Command) printError(err error) {
	_, _ = fmt.Fprintf(c.Stderr, "lagoonctl: %v\n", err)
}

// newClient returns a client of the fleet that the flags name. It fails if --log is
// missing, or if needInstances is set and --instances is missing.
func (c *Command) newClient(needInstances bool) (*Client, error) {
	if c.logURL == "" {
		return nil, fmt.Errorf("%w: --log is missing; expected the log service's URL", errUsage)
	}
	if needInstances && c.instancesURL == "" {
		return nil, fmt.Errorf("%w: --instances is missing; expected the instance list's URL", errUsage)
	}
	return &Client{
		Log:       &connector.Log{Base: c.logURL},
		Instances: &connector.InstanceList{Base: c.instancesURL},
	}, nil
}

// readConfiguration reads the inventory file and the rules file. Problems in the
// files are returned as loader.Problems; any other error wraps errUsage.
func (c *Command) readConfiguration() (lagoonstile.Configuration, error) {
	cfg, err := loader.ReadConfiguration(c.inventoryPath, c.rulesPath)
	var problems loader.Problems
	if err != nil && !errors.As(err, &problems) {
		return cfg, fmt.Errorf("%w: %w", errUsage, err)
	}
	return cfg, err
}
