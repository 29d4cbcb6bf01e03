// Command stage plays the cases of an independent review against the program of the
// deploy file: it starts a stand-in for the platform's store, servers and clients in its
// own process, and the nodes as processes of their own, all on loopback addresses. It
// exits with 1 if a case shows that a rule was broken, 0 if the rule held, and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// stage holds everything that a case plays with.
type stage struct {
	names   wireNames
	trouble bool
	folder  string
	store   *store
	servers []*server
	nodes   []*node
	runs    runList
	began   time.Time
	// broken counts how often the rule was broken.
	broken atomic.Int64

	mu     sync.Mutex
	record *os.File
}

// cases holds the cases by their names. An error means that the case could not run.
var cases = map[string]func(*stage) error{
	"broken-behind":  playBrokenBehind,
	"hidden-account": playHiddenAccount,
	"cut-answers":    playCutAnswers,
	"coded-slash":    playCodedSlash,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file for the record")
	flag.Parse()
	code, err := play(*name, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// play plays a case and returns the exit code.
func play(name, recordFile string) (int, error) {
	playCase := cases[name]
	if playCase == nil {
		return exitNotRun, fmt.Errorf("no case %q", name)
	}
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if s.names, err = readNames(); err != nil {
		return exitNotRun, err
	}
	if s.folder, err = os.MkdirTemp("", "stage"); err != nil {
		return exitNotRun, err
	}
	defer func() { _ = os.RemoveAll(s.folder) }()
	if s.record, err = os.Create(recordFile); err != nil {
		return exitNotRun, err
	}
	defer func() { _ = s.record.Close() }()
	if s.store, err = startStore(s.names); err != nil {
		return exitNotRun, err
	}
	defer s.stop()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, os.Interrupt)
	played := make(chan error, 1)
	go func() { played <- playCase(s) }()
	select {
	case err = <-played:
	case <-interrupts:
		err = fmt.Errorf("interrupted")
	}
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		return exitNotRun, err
	case s.broken.Load() > 0:
		s.note("the rule was broken %d times", s.broken.Load())
		return exitBroken, nil
	}
	s.note("the rule held")
	return exitHeld, nil
}

// stop ends all that the case has started.
func (s *stage) stop() {
	for _, n := range s.nodes {
		n.stop()
	}
	for _, server := range s.servers {
		_ = server.http.Close()
	}
	s.store.stop()
}

// note writes a line to the record and to the standard output.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// noteRequest records a request, its answer and its runs with some of the headers that
// the servers got, and returns the runs.
func (s *stage) noteRequest(r request, a answer, headers ...string) []run {
	var sent []string
	for _, h := range r.headers {
		sent = append(sent, h.name+": "+h.value)
	}
	text := fmt.Sprintf("sent %s: %s %s [%s], answered %d, signed %v", r.id, r.method, r.target, strings.Join(sent, "; "), a.status, a.signed)
	if a.err != nil {
		text += fmt.Sprintf(", no whole answer: %v", a.err)
	}
	runs := s.runs.of(r.id)
	for _, found := range runs {
		var got []string
		for _, name := range headers {
			got = append(got, fmt.Sprintf("%s: %q", name, found.header.Values(name)))
		}
		text += fmt.Sprintf("\n             run by %s (%s): %s %s [%s]", found.server, found.service, found.method, found.uri, strings.Join(got, "; "))
		if found.broken {
			text += ", which broke off its answer"
		}
	}
	s.note("%s", text)
	return runs
}

// breaks records that the rule was broken.
func (s *stage) breaks(format string, args ...any) {
	s.broken.Add(1)
	s.note("BROKEN: "+format, args...)
}
