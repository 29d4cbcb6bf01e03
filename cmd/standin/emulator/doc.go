// Package emulator holds small stand-ins for everything outside the fleet: the
// platform's log service and instance list, and the servers that requests are
// forwarded to. Each is an http.Handler with faults that can be switched on
// while it runs.
//
// A stand-in server has slots, a queue, cold starts and draining, sheds load
// in the platform's way, heeds cancellation and deadlines, and fails in the
// gray ways that the fleet is built for: its health endpoint lags and answers
// well whatever its work does.
package emulator
