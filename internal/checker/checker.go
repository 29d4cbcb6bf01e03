// Package checker runs properties with rapid so that every CI run gives the
// same verdict: the seed is fixed, and nothing is written beside the tests.
//
// The long mode of `make fuzz` sets LAGOONSTILE_FUZZ_CHECKS to the number of
// runs of each property and takes a new seed, which rapid prints on a failure.
package checker

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Names and values of rapid's own flags.
const (
	checksVariable = "LAGOONSTILE_FUZZ_CHECKS"
	seedFlag       = "rapid.seed"
	checksFlag     = "rapid.checks"
	fixedSeed      = "20261204"
)

// Check runs a property.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.nofailfile", "true")
	if checks := os.Getenv(checksVariable); checks != "" {
		set(t, checksFlag, checks)
	} else if flag.Lookup(seedFlag).Value.String() == "0" {
		set(t, seedFlag, fixedSeed)
	}
	rapid.Check(t, property)
}

func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set %s: %v", name, err)
	}
}

// CheckVirtual runs a property in virtual time: each run has a clock of its own
// that moves on only when everything waits. The property must end every
// goroutine that it starts, also when it fails.
func CheckVirtual(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	Check(t, func(rt *rapid.T) {
		var thrown any
		synctest.Test(t, func(*testing.T) {
			// rapid tells of a failure by a panic, which has to leave the
			// bubble on rapid's own goroutine.
			defer func() { thrown = recover() }()
			property(rt)
		})
		if thrown != nil {
			panic(thrown)
		}
	})
}
