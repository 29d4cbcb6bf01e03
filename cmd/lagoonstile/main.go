// Command lagoonstile is the proxy daemon.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"lagoonstile/loader"
	"lagoonstile/logger"
	"lagoonstile/platform"
	"lagoonstile/runner"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("lagoonstile", "A proxy for servers that fail partially and silently.")
	serve := app.Command("serve", "Serves until SIGTERM, then leaves gracefully; a second SIGTERM ends it at once.")
	check := app.Command("check-settings", "Checks a settings file and ends.")
	onPlatform := app.Command("platform", "Serves on the users' platform until SIGTERM. The settings file is named by "+platform.EnvSettings+".")
	var file string
	for _, command := range []*kingpin.CmdClause{serve, check} {
		command.Flag("settings", "Settings file.").Required().StringVar(&file)
	}
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	if chosen == onPlatform.FullCommand() {
		out := logger.New(os.Stdout, logger.DefaultBudget)
		err := platform.Serve(os.Getenv(platform.EnvSettings), out.Log())
		out.Close()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		return
	}
	settings, err := loader.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if chosen == check.FullCommand() {
		fmt.Println("ok")
		return
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run serves until it is told to leave and has left.
func run(settings loader.Settings) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: settings.LogLevel}))
	instance, err := runner.Start(settings, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-instance.DrainRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainLimit)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return instance.Drain(ctx)
}
