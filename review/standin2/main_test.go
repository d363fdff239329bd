//go:build review

// Command standin2 plays the scripted cases of the second review: it starts a small deployment from target/balsamd on
// loopback addresses, with stand-ins for backend servers, consumers and the operator. It exits with 1 if the rule of
// the case was broken, with 0 if it held, and with 2 if the case couldn't run. It is built as a test binary, since only
// tests and the adapter may use the platform's names.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases holds the cases by name. A case leaves its disruption out if hasTrouble is false.
var cases = map[string]func(r *record, hasTrouble bool) error{
	"stray-answer":     strayAnswer,
	"large-prompts":    largePrompts,
	"lost-leave":       lostLeave,
	"foreign-entries":  foreignEntries,
	"incomplete-entry": incompleteEntry,
}

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxCaseTime):
		}
		fmt.Fprintln(os.Stderr, "the case was ended, or takes too long")
		r.stopDeployment()
		os.Exit(2)
	}()
	if err := play(r, os.Getenv("TROUBLE") != "0"); err != nil {
		r.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	for _, b := range r.broken {
		fmt.Println(b)
	}
	if r.isBroken() {
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// maxCaseTime is less than the 120 s that a script may take.
const maxCaseTime = 110 * time.Second
