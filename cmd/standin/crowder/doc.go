// Package crowder tests one instance, as a process of its own, against crowds of
// clients that keep to no limit. Its tests check the memory and the descriptors of
// the process, so they must not run beside each other.
package crowder
