package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/bench"
	"github.com/balsamlb/balsamlb/internal/report"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const errMissingBench = usageError("name a benchmark, or all; see balsamctl bench -help")

var errBenchFailed = errors.New("at least one benchmark failed")

// allBenches is the argument that runs every benchmark.
const allBenches = "all"

// benchFlags are the flags of the bench command.
type benchFlags struct {
	short   *bool
	seed    *uint64
	network *string
	folder  *string
	report  *string
	save    *string
	compare *string
	version *string
}

func newBench() *ffcli.Command {
	fs := newFlagSet("bench")
	f := benchFlags{
		short:   fs.Bool("short", false, "keep each run under 50 s"),
		seed:    fs.Uint64("seed", 1, "seed of the load and the faults"),
		network: fs.String("net", "", "first two numbers of the loopback addresses to use (empty: free ones)"),
		folder:  fs.String("folder", "", "folder for settings, logs and data (empty: a temporary one)"),
		report:  fs.String("report", "", "file for a page with the figures and plots (empty: none)"),
		save:    fs.String("save", "", "file for the figures, to compare later ones with (empty: none)"),
		compare: fs.String("compare", "", "file of earlier figures to show beside these (empty: none)"),
		version: fs.String("version", "this version", "name of the version that is measured, for the page"),
	}
	var names []string
	for _, b := range bench.All() {
		names = append(names, b.Name+": "+b.Help)
	}
	return &ffcli.Command{
		Name: "bench", ShortUsage: "balsamctl bench [flags] NAME|all", ShortHelp: "measure the system on loopback",
		LongHelp: "Starts its own processes. The last line is one JSON object.\n\n" + strings.Join(names, "\n"),
		FlagSet:  fs, Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return errMissingBench
			}
			// Flags are also accepted after the name.
			if err := fs.Parse(args[1:]); err != nil {
				return err
			}
			return runBenches(ctx, args[0], f)
		},
	}
}

func runBenches(ctx context.Context, name string, f benchFlags) error {
	names := []string{name}
	if name == allBenches {
		names = names[:0]
		for _, b := range bench.All() {
			names = append(names, b.Name)
		}
	}
	run := report.Run{Version: *f.version, At: time.Now().UTC()}
	for _, n := range names {
		figure, err := runBench(ctx, n, f)
		if err != nil && len(names) == 1 {
			return err
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "balsamctl:", n+":", err)
			run.Failures = append(run.Failures, report.Failure{Bench: n, Reason: err.Error()})
			continue
		}
		run.Figures = append(run.Figures, figure)
	}
	if err := writeReport(run, f); err != nil {
		return err
	}
	if len(run.Failures) > 0 {
		return errBenchFailed
	}
	return nil
}

func runBench(ctx context.Context, name string, f benchFlags) (bench.Figure, error) {
	self, err := os.Executable()
	if err != nil {
		return bench.Figure{}, eris.Wrap(err, "find the path of balsamctl")
	}
	o := bench.Options{
		Short: *f.short, Seed: *f.seed, Net: *f.network, Folder: *f.folder, Bin: filepath.Dir(self), Out: os.Stdout,
	}
	if o.Folder == "" {
		if o.Folder, err = os.MkdirTemp("", "balsamlb-bench-"); err != nil {
			return bench.Figure{}, eris.Wrap(err, "create a temporary folder")
		}
		defer os.RemoveAll(o.Folder)
	}
	return bench.Run(ctx, name, o)
}

// writeReport saves the figures of the run and writes the HTML page, each only if its flag names a
// file.
func writeReport(run report.Run, f benchFlags) error {
	earlier, err := readEarlier(*f.compare)
	if err != nil {
		return err
	}
	if *f.save != "" {
		if err := writeFile(*f.save, func(out *os.File) error { return report.Save(out, run) }); err != nil {
			return err
		}
	}
	if *f.report == "" {
		return nil
	}
	return writeFile(*f.report, func(out *os.File) error { return report.Write(out, run, earlier) })
}

func readEarlier(path string) (*report.Run, error) {
	if path == "" {
		return nil, nil
	}
	in, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open the saved run to compare with")
	}
	defer in.Close()
	run, err := report.Read(in)
	return &run, err
}

func writeFile(path string, write func(*os.File) error) error {
	out, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create the output file")
	}
	if err := write(out); err != nil {
		_ = out.Close()
		return err
	}
	return eris.Wrap(out.Close(), "close the output file")
}
