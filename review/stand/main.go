// Command stand runs the scripts of the review: it plays the platform, the servers and
// the clients for instances of lagoonstile that run as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxScriptRun = 115 * time.Second
)

// cases are the scripts by name. A script reports whether the rule was broken, or an error if it
// could not run. Without trouble, it does the same without the disruption. Each file of a script adds its own.
var cases = make(map[string]func(dir string, trouble bool) (broken bool, err error))

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("settings and logs are in", dir)
	}
	go endEarly(dir)
	broken, err := cases[os.Args[1]](dir, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// endEarly ends all processes if the script is interrupted or takes too long.
func endEarly(dir string) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(maxScriptRun):
	}
	stopAll()
	_ = os.RemoveAll(dir)
	fmt.Fprintln(os.Stderr, "could not run: ended early")
	os.Exit(exitNotRun)
}
