// Package seeded gives property tests a fixed seed, so that every run checks the same cases.
// A test imports it for its effect; -rapid.seed=N overrides the seed.
package seeded

import (
	"flag"

	// Registers the flag that init sets.
	_ "pgregory.net/rapid"
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
