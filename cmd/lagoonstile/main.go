// Command lagoonstile is the proxy daemon. It runs one instance of a fleet, or one
// node on the users' platform, until it is stopped. It also checks settings files.
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
	exitFailed = 1
	// exitSettings means that the settings file of serve or check-settings
	// cannot be read or has problems.
	exitSettings = 2
)

func main() {
	app := kingpin.New("lagoonstile", "A proxy for servers that fail partially and silently.")
	serve := app.Command("serve", "Serves until SIGTERM, then shuts down gracefully; a second SIGTERM ends it at once.")
	checkSettings := app.Command("check-settings", "Checks a settings file and exits.")
	onPlatform := app.Command("platform", "Serves on the users' platform until SIGTERM. The environment variable "+platform.EnvSettings+" names the settings file.")
	var path string
	for _, command := range []*kingpin.CmdClause{serve, checkSettings} {
		command.Flag("settings", "Settings file.").Required().StringVar(&path)
	}
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if name == onPlatform.FullCommand() {
		signals := platform.CatchSignals()
		asyncLogger := logger.New(os.Stdout, logger.DefaultBudget)
		err := platform.Serve(os.Getenv(platform.EnvSettings), signals, asyncLogger.Log())
		asyncLogger.Close()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		return
	}
	settings, err := loader.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if name == checkSettings.FullCommand() {
		fmt.Println("ok")
		return
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run starts an instance and serves until a signal arrives or an operator requests
// a drain. It then drains the instance for at most the drain limit; another signal
// ends the drain at once.
func run(settings loader.Settings) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: settings.LogLevel}))
	runner.Resources{MemoryBytes: settings.MemoryBytes}.SetMemoryLimit()
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
