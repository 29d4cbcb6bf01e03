// Command standin runs stand-ins for the systems around a fleet of instances, and
// a complete fleet as a demo.
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

// options holds the flags and arguments of all commands.
type options struct {
	dir       string
	instances int
	duration  time.Duration
	logDown   bool
	server    string
	mode      string
	share     float64
}

func main() {
	app := kingpin.New("standin", "Runs stand-ins for the platform, servers and callers.")
	actions := defineCommands(app)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := actions[command](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// defineCommands defines the commands of app and returns the function of each, by
// its full name.
func defineCommands(app *kingpin.Application) map[string]func(context.Context) error {
	o := &options{}
	demo := app.Command("demo", "Runs a fleet with its platform, servers and callers in one process and prints a report.")
	world := app.Command("world", "Runs the platform and servers for instances that run in separate processes.")
	world.Flag("instances", "Number of instances to write settings for.").Default("4").IntVar(&o.instances)
	load := app.Command("load", "Sends callers' requests to the instances of a world, checks every answer and prints a report.")
	load.Flag("for", "Duration of the load.").Default("10s").DurationVar(&o.duration)
	log := app.Command("log", "Takes the log service of a world down, or up again without --down.")
	log.Flag("down", "Take the log service down.").BoolVar(&o.logDown)
	fault := app.Command("fault", "Makes one server of a world fail.")
	fault.Arg("server", "ID of the server.").Required().StringVar(&o.server)
	fault.Arg("mode", "Mode of the server: healthy, errors, stall, truncate, flap or mute.").Required().StringVar(&o.mode)
	fault.Flag("share", "Share of the requests that the mode applies to, from 0 to 1.").Default("1").Float64Var(&o.share)
	bench := app.Command("bench", "Measures the overhead that an instance adds to requests.")
	for _, command := range []*kingpin.CmdClause{world, load, log, fault, bench} {
		command.Flag("dir", "Directory of the world's files.").Required().StringVar(&o.dir)
	}
	return map[string]func(context.Context) error{
		demo.FullCommand():  runDemo,
		world.FullCommand(): func(ctx context.Context) error { return demonstrator.ServeWorld(ctx, o.dir, o.instances) },
		load.FullCommand():  o.runLoad,
		log.FullCommand():   o.setLogState,
		fault.FullCommand(): o.setServerFault,
		bench.FullCommand(): o.runBench,
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

func (o *options) runLoad(ctx context.Context) error {
	world, err := demonstrator.ReadWorld(o.dir)
	if err != nil {
		return err
	}
	return demonstrator.Load(ctx, os.Stdout, world, o.duration)
}

func (o *options) setLogState(ctx context.Context) error {
	return o.sendCommand(ctx, demonstrator.Command{Log: &emulator.LogFaults{Down: o.logDown}})
}

func (o *options) setServerFault(ctx context.Context) error {
	faults := emulator.ServerFaults{Mode: emulator.ServerMode(o.mode), Share: o.share}
	return o.sendCommand(ctx, demonstrator.Command{Server: &demonstrator.ServerCommand{ID: lagoonstile.ServerID(o.server), Faults: faults}})
}

// sendCommand sends a command to the process that runs the world.
func (o *options) sendCommand(ctx context.Context, command demonstrator.Command) error {
	world, err := demonstrator.ReadWorld(o.dir)
	if err != nil {
		return err
	}
	return world.SendCommand(ctx, command)
}

func (o *options) runBench(ctx context.Context) error {
	world, err := demonstrator.ReadWorld(o.dir)
	if err != nil {
		return err
	}
	return demonstrator.Bench(ctx, os.Stdout, world)
}
