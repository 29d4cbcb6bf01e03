// Command standin runs stand-ins for everything around a fleet, and a whole
// fleet as a demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"lagoonstile/cmd/standin/demonstrator"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, servers and callers.")
	demo := app.Command("demo", "Runs a fleet with everything around it in one process and reports.")
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if chosen == demo.FullCommand() {
		if err := runDemo(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			os.Exit(1)
		}
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
