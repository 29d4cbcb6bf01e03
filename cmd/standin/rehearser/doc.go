// Package rehearser contains integration tests of whole instances with stand-ins
// for the users' platform: its store, and servers that register themselves there.
// Most tests cause one of the failures that instances must handle; TestSoak
// combines failures at random.
package rehearser
