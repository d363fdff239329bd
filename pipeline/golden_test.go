package pipeline

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

// TestDraftsMatchGoldenFiles compares the actions of whole drafts with golden files.
func TestDraftsMatchGoldenFiles(t *testing.T) {
	for name, scenario := range map[string]func(sim *simulation){
		"crash": func(sim *simulation) { inject(sim, "crash", 1, 60*time.Millisecond) },
		"two_crashes": func(sim *simulation) {
			inject(sim, "crash", 0, 60*time.Millisecond)
			inject(sim, "crash", 2, 60*time.Millisecond)
		},
		"silence":   func(sim *simulation) { inject(sim, "silence", 2, 60*time.Millisecond) },
		"bad_frame": func(sim *simulation) { inject(sim, "bad frame", 2, 60*time.Millisecond) },
		"move":      func(sim *simulation) { inject(sim, "slow", 1, 60*time.Millisecond) },
		"caller_gone": func(sim *simulation) {
			sim.after(60*time.Millisecond, func() { sim.performAll(sim.stream.CallerDisconnected()) })
		},
		"no_replacement": noReplacement,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			scenario(sim)
			sim.run(time.Minute)
			path := filepath.Join("testdata", name+".golden")
			got := strings.Join(sim.log, "\n") + "\n"
			if *update {
				is.NoErr(os.MkdirAll("testdata", 0o755))
				is.NoErr(os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}

func noReplacement(sim *simulation) {
	sim.after(60*time.Millisecond, func() {
		for _, s := range sim.servers[serversPerRange : 2*serversPerRange] {
			s.crash()
		}
	})
}
