// Command lagoonctl is the operator's tool.
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
