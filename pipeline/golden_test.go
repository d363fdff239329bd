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

// TestSessions compares the actions of whole drafts with golden files.
func TestSessions(t *testing.T) {
	for name, play := range map[string]func(w *world){
		"crash":          func(w *world) { inject(w, "crash", 1, 60*time.Millisecond) },
		"two_crashes":    func(w *world) { inject(w, "crash", 0, 60*time.Millisecond); inject(w, "crash", 2, 60*time.Millisecond) },
		"silence":        func(w *world) { inject(w, "silence", 2, 60*time.Millisecond) },
		"bad_frame":      func(w *world) { inject(w, "bad frame", 2, 60*time.Millisecond) },
		"move":           func(w *world) { inject(w, "slow", 1, 60*time.Millisecond) },
		"caller_gone":    func(w *world) { w.after(60*time.Millisecond, func() { w.do(w.stream.CallerDisconnected()) }) },
		"no_replacement": noReplacement,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			play(w)
			w.run(time.Minute)
			path := filepath.Join("testdata", name+".golden")
			got := strings.Join(w.log, "\n") + "\n"
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

func noReplacement(w *world) {
	w.after(60*time.Millisecond, func() {
		for _, s := range w.servers[spares : 2*spares] {
			s.crash()
		}
	})
}
