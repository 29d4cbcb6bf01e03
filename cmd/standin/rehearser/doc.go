// Package rehearser rehearses whole instances on stand-ins of the users'
// platform: its store, and servers that register themselves there. Its tests
// cause the failures that instances are meant for, each by itself.
package rehearser
