package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lagoonstile"
	"lagoonstile/connector"
	"lagoonstile/loader"
)

// Exit codes of the operator's tool.
const (
	ExitOK = 0
	// ExitRefused: the fleet refused the change, or the files hold a mistake.
	ExitRefused = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitUnavailable: a platform service or an instance did not answer.
	ExitUnavailable = 3
	// ExitNotInForce: the time ran out before the change was in force
	// everywhere.
	ExitNotInForce = 4
)

// Command is one run of the operator's tool.
type Command struct {
	Stdout, Stderr io.Writer

	log, instances   string
	inventory, rules string
	reason           string
	wait             bool
	timeout          time.Duration
	output           string
	address          string
	service          string
	kind             string
	instance         string
	since            time.Duration
}

// Run parses the arguments, does what they say, and returns the exit code. It
// never panics on bad input and prints no stack trace.
func (c *Command) Run(ctx context.Context, args []string) int {
	app := kingpin.New("lagoonctl", "Operates a lagoonstile fleet.")
	app.UsageWriter(c.Stderr).ErrorWriter(c.Stderr)
	ended := false
	app.Terminate(func(int) { ended = true })
	run := c.declare(app)
	chosen, err := app.Parse(args)
	if ended {
		return ExitOK
	}
	if err != nil {
		c.complain(err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.exit(run[chosen](ctx))
}

// declare sets up flags and commands and returns what each command does.
func (c *Command) declare(app *kingpin.Application) map[string]func(context.Context) error {
	app.Flag("log", "URL of the log service.").Envar("LAGOONSTILE_LOG").StringVar(&c.log)
	app.Flag("instances", "URL of the instance list.").Envar("LAGOONSTILE_INSTANCES").StringVar(&c.instances)
	app.Flag("output", "How results are printed: text or json.").Default("text").EnumVar(&c.output, "text", "json")
	app.Flag("timeout", "How long to go on trying.").Default("30s").DurationVar(&c.timeout)
	check := app.Command("check", "Checks an inventory and rules without publishing them.")
	diff := app.Command("diff", "Shows what publishing would change.")
	publish := app.Command("publish", "Publishes an inventory and rules.")
	for _, command := range []*kingpin.CmdClause{check, diff, publish} {
		command.Flag("inventory", "Inventory file.").Required().StringVar(&c.inventory)
		command.Flag("rules", "Rules file.").Required().StringVar(&c.rules)
	}
	publish.Flag("wait", "Wait until the change is in force on every live instance.").BoolVar(&c.wait)
	publish.Flag("reason", "Why, for the audit trail.").StringVar(&c.reason)
	status := app.Command("status", "Shows the state of every instance, or of one.")
	status.Arg("admin-address", "IP:port of one instance's admin listener.").StringVar(&c.address)
	entry := app.Command("entry", "Asks an instance which addresses callers should use.")
	entry.Arg("caller-address", "IP:port of an instance's listener for callers.").Required().StringVar(&c.address)
	entry.Arg("service", "Name of the service.").Required().StringVar(&c.service)
	audit := app.Command("audit", "Reads the audit trail.")
	audit.Flag("service", "Only events of this service.").StringVar(&c.service)
	audit.Flag("kind", "Only events of this kind.").StringVar(&c.kind)
	audit.Flag("instance", "Only events of this instance.").StringVar(&c.instance)
	audit.Flag("since", "Only events of this last span of time.").DurationVar(&c.since)
	drain := app.Command("drain", "Makes an instance leave gracefully.")
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

// errUsage wraps errors that another command line would mend.
var errUsage = errors.New("usage")

// exit prints an error and returns the exit code for it.
func (c *Command) exit(err error) int {
	if err == nil {
		return ExitOK
	}
	c.complain(err)
	var problems loader.Problems
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &problems), errors.Is(err, ErrLostRace), errors.Is(err, ErrInvalid):
		return ExitRefused
	case errors.Is(err, ErrNotInForce):
		return ExitNotInForce
	}
	return ExitUnavailable
}

func (c *Command) complain(err error) {
	_, _ = fmt.Fprintf(c.Stderr, "lagoonctl: %v\n", err)
}

// fleet returns the fleet that the flags name.
func (c *Command) fleet(needInstances bool) (*Fleet, error) {
	if c.log == "" {
		return nil, fmt.Errorf("%w: --log is missing; expected the log service's URL", errUsage)
	}
	if needInstances && c.instances == "" {
		return nil, fmt.Errorf("%w: --instances is missing; expected the instance list's URL", errUsage)
	}
	return &Fleet{
		Log:       &connector.Log{Base: c.log},
		Instances: &connector.InstanceList{Base: c.instances},
		Client:    &http.Client{},
	}, nil
}

func (c *Command) read() (lagoonstile.Configuration, error) {
	cfg, err := loader.ReadConfiguration(c.inventory, c.rules)
	var problems loader.Problems
	if err != nil && !errors.As(err, &problems) {
		return cfg, fmt.Errorf("%w: %w", errUsage, err)
	}
	return cfg, err
}
