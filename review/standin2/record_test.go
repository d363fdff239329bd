//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	broken  []string
	// deployment is what the case has started, or nil.
	deployment *deployment
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

// line writes one line with the time since the start in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken.
func (r *record) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// isBroken reports whether a rule was broken.
func (r *record) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken) > 0
}

// stopDeployment ends the processes of the case.
func (r *record) stopDeployment() {
	r.mu.Lock()
	d := r.deployment
	r.mu.Unlock()
	if d != nil {
		d.stopAll()
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
