package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newStatus() *ffcli.Command {
	fs := newFlagSet("status")
	access := addAccess(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "status", ShortUsage: "balsamctl status [flags]", ShortHelp: "show instances and backend servers",
		FlagSet: fs, Options: envOptions(),
		Exec: func(context.Context, []string) error {
			client, err := access.client()
			if err != nil {
				return err
			}
			s, err := client.Status()
			if err != nil {
				return err
			}
			if *asJSON {
				return printJSON(s)
			}
			return printStatus(s)
		},
	}
}

func printControl(c operator.ControlStatus) {
	fmt.Printf("control: %s in term %d, leader %s, lease %t, voting %t\n", c.Role, c.Term, c.Leader, c.Lease, c.Voting)
	fmt.Printf("control: commit %d, applied %d, snapshot at %d\n", c.Commit, c.Applied, c.Snapshot)
	fmt.Printf("control: %d of %d voters: %s\n", len(c.Voters), c.Size, strings.Join(c.Voters, ", "))
	for _, l := range c.Learners {
		fmt.Printf("control: learner %s at %d, caught up %t\n", l.Name, l.Match, l.CaughtUp)
	}
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// orderText shows the last order of a server, such as 3/12 done.
func orderText(o fleet.OrderReport) string {
	if o.State == "" {
		return "none"
	}
	return fmt.Sprintf("%d/%d %s", o.Fence.Term, o.Fence.Number, o.State)
}

func printStatus(s operator.Status) error {
	fmt.Printf("instance %s in %s, configuration version %d, %d requests in flight\n", s.Instance, s.DataCentre, s.ConfigVersion, s.InFlight)
	if s.Control != nil {
		printControl(*s.Control)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nINSTANCE\tDATA CENTRE\tALIVE\tCONFIG\tHEARD")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d ms ago\n", i.Name, i.DataCentre, i.Alive, i.ConfigVersion, i.HeardMs)
	}
	fmt.Fprintln(w, "\nSERVER\tDATA CENTRE\tADDRESS\tMODEL\tLAYERS\tIN FLIGHT\tLEAVING\tLEASE\tCHECKS FENCES\tTELLS OUTCOMES\tORDER")
	for _, b := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d-%d\t%d\t%t\t%d ms\t%t\t%t\t%s\n", b.Name, b.DataCentre, b.Address, b.Model, b.From, b.To, b.InFlight, b.Leaving, b.LeaseMs,
			b.ChecksFences, b.ResolvesRequests, orderText(b.Order))
	}
	return w.Flush()
}
