package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
)

var sampleStatus = operator.Status{
	Instance: "kandy-1", DataCentre: "kandy", ConfigVersion: 7, ConfigAgeMs: 12, InFlight: 3,
	Control: &operator.ControlStatus{
		Role: "follower", Term: 4, Leader: "galle-1", Lease: true, Voting: true, Commit: 90, Applied: 90, Snapshot: 60,
		Build: "2717513a428c", Level: 1, SupportedLevel: 2, LevelHeldBy: []string{"colombo-1 applies levels up to 1"},
		Size: 3, Voters: []string{"colombo-1", "galle-1", "kandy-1"},
	},
	Instances: []operator.InstanceStatus{
		{Name: "kandy-1", DataCentre: "kandy", Alive: true, ConfigVersion: 7},
		{Name: "galle-1", DataCentre: "galle", Alive: false, ConfigVersion: 6, LastSeenMs: 2500},
	},
	Servers: []operator.ServerStatus{
		{Name: "kandy-advice-0", DataCentre: "kandy", Address: "127.0.2.100:9000", Model: "icing-7b", From: 0, To: 16, InFlight: 2, LeaseMs: 1800, ChecksFences: true},
		{Name: "kandy-ordering", DataCentre: "kandy", Address: "127.0.2.200:9000", Leaving: true, LeaseMs: 900, ResolvesRequests: true},
	},
	Drains: []string{"kandy-ordering"},
}

func TestTables(t *testing.T) {
	is := is.New(t)
	date := time.Date(2026, 12, 31, 0, 0, 0, 0, time.UTC)
	sampleStatus.Servers[0].Order = fleet.OrderReport{Fence: fleet.Fence{Term: 4, Number: 2}, State: "done"}
	var out bytes.Buffer
	for _, table := range []struct {
		name  string
		print func(io.Writer)
	}{
		{"status", func(w io.Writer) { printStatus(w, sampleStatus) }},
		{"config status", func(w io.Writer) { printConfigStatus(w, sampleStatus) }},
		{"config history", func(w io.Writer) {
			printHistory(w, []config.Document{{}, {Version: 1, At: date, Author: "ana", ChangeID: "c-1"}})
		}},
		{"credits", func(w io.Writer) {
			printCredits(w, []operator.CreditCount{{Member: "kandy-sugar-craft", Kind: "booking", Count: 60}})
		}},
		{"move status", func(w io.Writer) {
			printMoves(w, []operator.MoveStatus{
				{Name: "ledger", Service: "booking", Done: 1, Drained: 2, Total: 4, Date: date, Forecast: date, Risk: "late"},
				{Name: "quotes", Service: "stock", Total: 1, Date: date},
			})
		}},
	} {
		fmt.Fprintf(&out, "balsamctl %s\n\n", table.name)
		is.NoErr(printTable(&out, table.print))
		fmt.Fprintln(&out)
	}
	path := filepath.Join("testdata", "tables.golden")
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(path, out.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}
