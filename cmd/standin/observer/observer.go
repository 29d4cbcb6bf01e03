// Package observer reads from Linux what processes use, as the users' platform counts it:
// memory, descriptors, and what the kernel has received for their sockets.
package observer

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// stateListen is the state of a listening socket in /proc/net/tcp.
const stateListen = "0A"

// Memory returns a size of /proc/PID/status in bytes, or 0 if the process has ended.
func Memory(pid int, field string) int64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kB int64
		if n, _ := fmt.Sscanf(line, field+": %d kB", &kB); n == 1 {
			return kB << 10
		}
	}
	return 0
}

// Sockets returns the number of descriptors of a process, and the bytes that the
// kernel has received for its sockets and that it has not read. Connections that wait to
// be accepted by one of its listeners belong to it, too. It returns 0 if the process
// has ended.
func Sockets(pid int) (descriptors int, unread int64) {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, _ := os.ReadDir(dir) // The process may have ended.
	inodes := make(map[string]bool)
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(dir, entry.Name())) // It may be closed.
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		unread += unreadIn(table, inodes)
	}
	return len(entries), unread
}

// unreadIn returns the bytes received and not read of those sockets of a table in
// /proc/net that have one of the inodes, or that wait to be accepted by one of them.
func unreadIn(table string, inodes map[string]bool) int64 {
	file, err := os.Open(filepath.Join("/proc/net", table))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	var sum int64
	listening := make(map[string]bool)
	waiting := make(map[string]int64)
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 10 || fields[0] == "sl" {
			continue
		}
		_, local, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		switch inode := fields[9]; {
		case fields[3] == stateListen && strings.HasPrefix(table, "tcp"):
			listening[local] = listening[local] || inodes[inode]
		case inodes[inode]:
			sum += bytes
		case inode == "0":
			waiting[local] += bytes
		}
	}
	for port, bytes := range waiting {
		if listening[port] {
			sum += bytes
		}
	}
	return sum
}
