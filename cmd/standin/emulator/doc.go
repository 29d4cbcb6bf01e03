// Package emulator provides small stand-ins for the systems around the fleet:
// the platform's log service and instance list, the users' platform's keyed
// store, and the servers that requests are forwarded to. Each is an
// http.Handler whose faults can be switched on and off while it runs.
//
// A Server has a limited number of slots, a queue, cold starts and draining. It
// sheds load in the platform's way and stops work on requests that are
// cancelled. It emulates gray failures: its health endpoint reports changes
// late, and reports a healthy server even while real requests fail. A Backend
// is the server of the users' platform; it registers itself in a KeyedStore and
// also observes the deadlines of requests.
package emulator
