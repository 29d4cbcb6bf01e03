// Package checker runs property-based tests with rapid. The seed is fixed, so that
// every CI run tests the same inputs, and rapid writes no failure files.
//
// If LAGOONSTILE_FUZZ_CHECKS is set, as by `make fuzz`, it is the number of runs of
// each property. The seed is then random, and rapid prints it on a failure.
package checker

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// The environment variable with the number of runs, the names of rapid's flags,
// and the seed.
const (
	checksVariable = "LAGOONSTILE_FUZZ_CHECKS"
	seedFlag       = "rapid.seed"
	checksFlag     = "rapid.checks"
	fixedSeed      = "20261204"
)

// Check runs a property. The seed is fixed unless the flag -rapid.seed or
// LAGOONSTILE_FUZZ_CHECKS is set.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.nofailfile", "true")
	if checks := os.Getenv(checksVariable); checks != "" {
		setFlag(t, checksFlag, checks)
	} else if flag.Lookup(seedFlag).Value.String() == "0" {
		setFlag(t, seedFlag, fixedSeed)
	}
	rapid.Check(t, property)
}

// setFlag sets a command-line flag of the test binary.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set %s: %v", name, err)
	}
}

// CheckVirtual is like Check, but each run has its own synctest bubble, where time
// is virtual and advances only when all goroutines are blocked. The property must
// end every goroutine that it starts, even if it fails.
func CheckVirtual(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	Check(t, func(rt *rapid.T) {
		var panicValue any
		synctest.Test(t, func(*testing.T) {
			// rapid reports a failure by a panic, which rapid must recover on its
			// own goroutine, outside the bubble.
			defer func() { panicValue = recover() }()
			property(rt)
		})
		if panicValue != nil {
			panic(panicValue)
		}
	})
}
