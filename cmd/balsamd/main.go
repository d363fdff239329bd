// Command balsamd runs one instance of balsamlb. With gateway or controller as its first
// argument it runs that role instead.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/daemon"
	"github.com/balsamlb/balsamlb/internal/logs"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/peterbourgon/ff/v3"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "balsamd:", err)
		os.Exit(1)
	}
}

// flags are the flags that all roles share.
type flags struct {
	settings  string // path of the settings file
	checkOnly bool   // check the settings file and exit
}

func parseFlags(name string, args []string) (flags, error) {
	var f flags
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.StringVar(&f.settings, "settings", "balsamd.ini", "settings file of this instance")
	fs.BoolVar(&f.checkOnly, "check", false, "check the settings file and exit")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("BALSAMD"))
	return f, err
}

func run(args []string) error {
	if len(args) > 0 {
		switch role := settings.Role(args[0]); role {
		case settings.RoleGateway, settings.RoleController:
			return runRole(role, args[1:])
		}
	}
	f, err := parseFlags("balsamd", args)
	if err != nil {
		return err
	}
	p, err := settings.ReadProcess(f.settings)
	if err != nil {
		return err
	}
	if f.checkOnly {
		fmt.Println(f.settings, "is valid")
		return nil
	}
	d, err := daemon.New(p, logs.New(os.Stderr, p.LogLevel))
	if err != nil {
		return err
	}
	// This role reads its settings only at the start. SIGHUP is ignored, since by default it
	// terminates the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

// runRole runs a gateway or a controller. A separate goroutine writes the log, so that a blocked
// standard output does not block the process.
func runRole(role settings.Role, args []string) error {
	f, err := parseFlags("balsamd "+string(role), args)
	if err != nil {
		return err
	}
	s, err := settings.ReadMember(f.settings, role)
	if err != nil {
		return err
	}
	if f.checkOnly {
		fmt.Println(f.settings, "is valid")
		return nil
	}
	useCores(role, s.Cores)
	out := logs.NewBounded(os.Stdout, s.LogLinesPerSecond, time.Now)
	log := logs.New(out, s.LogLevel)
	writeCtx, stopWrite := context.WithCancel(context.Background())
	writeDone := make(chan error, 1)
	go func() { writeDone <- out.Run(writeCtx) }()
	defer func() {
		stopWrite()
		<-writeDone
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if role == settings.RoleGateway {
		return daemon.RunGateway(ctx, f.settings, s, log)
	}
	return daemon.RunController(ctx, f.settings, s, log)
}

// useCores sets the number of processors that the process uses at once. More than a controller has work for cost it
// processor time, as the runtime wakes one thread after the other to look for work.
func useCores(role settings.Role, cores int) {
	if cores == 0 && role == settings.RoleController {
		cores = 1
	}
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
}
