// Package seeded gives property tests a fixed seed, so that every run checks the same cases
// and writes no file. A test imports it for its effect; -rapid.seed=N overrides the seed.
package seeded

import (
	"flag"

	// Registers the flag that init sets.
	_ "pgregory.net/rapid"
)

const seed = "20261203"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
