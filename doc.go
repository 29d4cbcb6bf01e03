// Package lagoonstile holds the domain of a proxy fleet for servers that fail
// partially and silently: the identifiers, the configuration with the rules
// that it must keep, and the narrow interfaces to the platform.
//
// # How a fleet works
//
// A fleet is a handful of equal instances. Each one reads the same stream of
// configuration changes from the platform's append-only log and folds it with
// the same deterministic rules (package configurer), so all agree on the
// version in force without talking about it. Callers ask any instance which
// addresses to use (package locator) and connect directly. An instance picks a
// server for each request (package picker), forwards it (package forwarder),
// and answers in its own words only from a closed list (package answerer).
//
// What instances learn on their own, they share over peer links: what they saw
// of each server, who is leaving, which configuration version is newest.
// Nothing that must hold depends on that exchange being timely.
//
// # Deciders and edges
//
// Packages that decide are pure: they take the time and an event and return
// what to do. They read no clock, open no socket and start no goroutine. The
// edge packages (listener, forwarder, connector, gossiper, runner) turn
// input and output into events. Packages import in that direction only.
//
// # Version and outcome
//
// Two promises shape most types here. A configuration version in force never
// goes down. And a non-idempotent request runs at most once: only its home
// (type Home) ever dispatches it, and only the home may say that it did not
// run.
package lagoonstile
