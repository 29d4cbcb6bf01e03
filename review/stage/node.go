package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is one process of the system, started with the command of the deploy file.
type node struct {
	stage   *stage
	values  settings
	command *exec.Cmd
	exited  chan struct{}
}

// settings are the values in the settings file of a node.
type settings struct {
	Name, Zone, HTTP, Ready, Admin, Registry, Store string
	PeerPort                                        int
	Bootstrap                                       bool
}

// runLine matches the run command of the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"$`)

// runCommand returns the words of the run command of the deploy file.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(data)
	if match == nil {
		return nil, errors.New("deploy/system.toml has no run command")
	}
	return strings.Fields(string(match[1])), nil
}

// zones are those of the settings.
var zones = []string{"milano-a", "torino-b", "verona-c"}

// startNode starts the n-th node and waits until it says that it is ready.
func (s *stage) startNode(n int) error {
	ports, err := freePorts(5)
	if err != nil {
		return err
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	started := &node{stage: s, values: settings{
		Name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n+1), Zone: zones[n%len(zones)],
		HTTP: address(0), Ready: address(1), Admin: address(2), Registry: address(3), PeerPort: ports[4],
		Store: s.store.address(), Bootstrap: true,
	}}
	s.nodes = append(s.nodes, started)
	return started.start()
}

// freePorts returns ports that are free for TCP at the moment. They are below those that
// the system gives to outgoing connections.
func freePorts(n int) ([]int, error) {
	var ports []int
	for port := 11000 + os.Getpid()*37%17000; len(ports) < n && port < 31000; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

// start starts the process.
func (n *node) start() error {
	file := filepath.Join(n.stage.folder, n.values.Name+".json")
	data, err := render("settings.json", n.values)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	words, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.stage.folder, n.values.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(words[0], words[1:]...)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.stage.folder, n.stage.names.SettingsVariable + "=" + file}
	// The process ends with this one, whatever happens.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(n.command, n.exited)
	return n.awaitReady()
}

// readyTime is how long a node may take to become ready.
const readyTime = 10 * time.Second

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.values.Ready + n.stage.names.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.values.Name, readyTime)
}

// stop kills the process, if it runs, and waits for its end.
func (n *node) stop() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.exited
}
