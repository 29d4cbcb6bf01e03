// Package lagoonstile defines the domain types of a proxy fleet for servers
// with gray failures, which are partial and often go unreported: the
// identifiers, the configuration and its validation rules, and the interfaces
// to the platform's services.
//
// # How a fleet works
//
// A fleet is a small number of equal instances. The following describes a fleet
// whose configuration lists the servers (runner.Instance). For a fleet whose
// servers register themselves, see Plan and runner.Node.
//
// Each instance reads the same stream of configuration changes from the
// platform's append-only log and applies the same deterministic rules to it
// (package configurer), so all instances agree on the version in force without a
// consensus protocol of their own. Callers ask any instance which addresses to
// use (package locator) and connect to them directly. For each request, an
// instance picks a server (package picker) and forwards the request to it
// (package forwarder). The errors that an instance itself returns come from a
// closed list (package answerer).
//
// Instances exchange what they learn over peer links: observations of servers,
// which instances are leaving, and the newest configuration version. No
// invariant depends on the timeliness of that exchange.
//
// # Pure packages and I/O packages
//
// Packages that make decisions are pure: their functions take the time and an
// event and return what to do. They read no clock, open no socket and start no
// goroutine. The I/O packages (such as listener, forwarder, connector, linker and
// runner) read the clock, do the input and output, and call the pure packages.
// Pure packages never import I/O packages.
//
// # Invariants
//
// Two invariants shape most of the types here. The configuration version in
// force never decreases. And a non-idempotent request runs at most once. Where
// such requests have a home (see Home), only the home ever dispatches them, and
// only the home may report that they did not run.
package lagoonstile
