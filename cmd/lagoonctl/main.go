// Command lagoonctl is the command-line tool with which operators manage a
// lagoonstile fleet. Package operator implements its commands.
package main

import (
	"context"
	"os"
	"os/signal"

	"lagoonstile/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command := operator.Command{Stdout: os.Stdout, Stderr: os.Stderr}
	code := command.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
