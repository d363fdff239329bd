// Package seeded sets a fixed seed for property tests, so that every run checks the same cases,
// and turns off rapid's failure files. Tests import it for its side effect. The flag
// -rapid.seed=N overrides the seed.
package seeded

import (
	"flag"

	// Registers the flags that init sets.
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
