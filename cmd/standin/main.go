// Command standin runs stand-ins for everything around a fleet, and a whole
// fleet as a demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lagoonstile"
	"lagoonstile/cmd/standin/demonstrator"
	"lagoonstile/cmd/standin/emulator"
)

// options are the flags of all commands.
type options struct {
	dir       string
	instances int
	span      time.Duration
	logDown   bool
	server    string
	mode      string
	share     float64
}

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, servers and callers.")
	run := declare(app)
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run[chosen](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// declare sets up the commands and returns what each does.
func declare(app *kingpin.Application) map[string]func(context.Context) error {
	o := &options{}
	demo := app.Command("demo", "Runs a fleet with everything around it in one process and reports.")
	world := app.Command("world", "Runs the platform and servers for instances in processes of their own.")
	world.Flag("instances", "How many instances to write settings for.").Default("4").IntVar(&o.instances)
	load := app.Command("load", "Sends callers' work to the instances of a world, checks every answer and reports.")
	load.Flag("for", "How long.").Default("10s").DurationVar(&o.span)
	log := app.Command("log", "Takes a world's log service down, or up again.")
	log.Flag("down", "Down.").BoolVar(&o.logDown)
	fault := app.Command("fault", "Makes one server of a world fail.")
	fault.Arg("server", "Id of the server.").Required().StringVar(&o.server)
	fault.Arg("mode", "healthy, errors, stall, truncate, flap or mute.").Required().StringVar(&o.mode)
	fault.Flag("share", "Share of its work, from 0 to 1.").Default("1").Float64Var(&o.share)
	bench := app.Command("bench", "Measures what an instance adds to requests.")
	for _, command := range []*kingpin.CmdClause{world, load, log, fault, bench} {
		command.Flag("dir", "Folder of the world's files.").Required().StringVar(&o.dir)
	}
	return map[string]func(context.Context) error{
		demo.FullCommand():  runDemo,
		world.FullCommand(): func(ctx context.Context) error { return demonstrator.ServeWorld(ctx, o.dir, o.instances) },
		load.FullCommand():  o.load,
		log.FullCommand():   o.log,
		fault.FullCommand(): o.fault,
		bench.FullCommand(): o.bench,
	}
}

func runDemo(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "lagoonstile-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return demonstrator.Run(ctx, os.Stdout, dir)
}

func (o *options) load(ctx context.Context) error {
	world, err := demonstrator.ReadWorld(o.dir)
	if err != nil {
		return err
	}
	return demonstrator.Load(ctx, os.Stdout, world, o.span)
}

func (o *options) log(ctx context.Context) error {
	return o.tell(ctx, demonstrator.Order{Log: &emulator.LogFaults{Down: o.logDown}})
}

func (o *options) fault(ctx context.Context) error {
	faults := emulator.ServerFaults{Mode: emulator.ServerMode(o.mode), Share: o.share}
	return o.tell(ctx, demonstrator.Order{Server: &demonstrator.ServerOrder{ID: lagoonstile.ServerID(o.server), Faults: faults}})
}

func (o *options) tell(ctx context.Context, order demonstrator.Order) error {
	world, err := demonstrator.ReadWorld(o.dir)
	if err != nil {
		return err
	}
	return world.Tell(ctx, order)
}

func (o *options) bench(ctx context.Context) error {
	world, err := demonstrator.ReadWorld(o.dir)
	if err != nil {
		return err
	}
	return demonstrator.Bench(ctx, os.Stdout, world)
}
