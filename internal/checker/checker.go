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
