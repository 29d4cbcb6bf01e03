// Package emulator provides small stand-ins for the systems around the fleet: the
// log service and the instance list of the platform, the keyed store of the users'
// platform, and the servers that requests are forwarded to. Each of them is an
// http.Handler. All except the instance list have faults that can be switched on
// and off while they run.
//
// A Server has a limited number of slots, a queue, slow requests after a start, and
// draining. It sheds requests as the platform's servers do and stops work on
// requests that are canceled. It emulates gray failures: its health endpoint
// reports changes late, and reports a healthy server even while other requests
// fail. A Backend is a server of the users' platform. It registers itself in a
// KeyedStore and also observes the deadlines of requests.
package emulator
