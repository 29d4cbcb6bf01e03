// Command rig3 runs the scripts of the review in review/11 to review/15: it starts the
// processes of the deploy file beside stand-ins for the platform's store, servers and
// clients, and judges what clients and servers saw by one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// setting is what a case runs with.
type setting struct {
	// program is the program of the deploy file, and dir a temporary folder.
	program, dir string
	rec          *recorder
	// trouble is false if the case must run without its disruption.
	trouble bool
}

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*setting) (broken bool, err error){
	"crashing-request": crashingRequest,
	"readers-cut-off":  readersCutOff,
	"repeated-request": repeatedRequest,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE PROGRAM RECORD")
		return exitFailed
	}
	program, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec, err := newRecorder(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &setting{program: program, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[args[0]](s)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
