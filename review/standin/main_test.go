//go:build review

// Package main plays the cases of the review: it starts the project's processes and plays the
// backend servers, the callers and the operator around them. It is built as a test binary, since only
// tests and the adapter may use the platform's names.
package main

import (
	"fmt"
	"os"
	"testing"
)

// cases are the cases by name. Each returns how the rule was broken, or "".
var cases = map[string]func(d *deployment, hasTrouble bool) (broken string, err error){
	"leave-unheard": leaveUnheard,
	"silent-drain":  silentDrain,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, with trouble: %t", os.Args[1], hasTrouble)
	d, err := newDeployment(r)
	if err != nil {
		r.printf("could not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	broken, err := cases[os.Args[1]](d, hasTrouble)
	switch {
	case broken != "":
		r.printf("RULE BROKEN: %s", broken)
		fmt.Println("RULE BROKEN:", broken)
		return exitBroken
	case err != nil:
		r.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
