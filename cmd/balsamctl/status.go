package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newStatus() *ffcli.Command {
	return query[operator.Status]{
		name: "status", usage: "status [flags]", help: "show instances and backend servers",
		get:   (*operator.Client).Status,
		print: printStatus,
	}.command()
}

func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "instance %s in %s, configuration version %d, %d requests in flight\n", s.Instance, s.DataCentre, s.ConfigVersion, s.InFlight)
	if s.Control != nil {
		printControl(w, *s.Control)
	}
	if len(s.Drains) > 0 {
		fmt.Fprintf(w, "drained by operators: %s\n", strings.Join(s.Drains, ", "))
	}
	fmt.Fprintln(w, "\nINSTANCE\tDATA CENTRE\tALIVE\tCONFIG\tHEARD")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d ms ago\n", i.Name, i.DataCentre, i.Alive, i.ConfigVersion, i.LastSeenMs)
	}
	fmt.Fprintln(w, "\nSERVER\tDATA CENTRE\tADDRESS\tMODEL\tLAYERS\tIN FLIGHT\tLEAVING\tLEASE\tCHECKS FENCES\tTELLS OUTCOMES\tORDER")
	for _, b := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d-%d\t%d\t%t\t%d ms\t%t\t%t\t%s\n", b.Name, b.DataCentre, b.Address, b.Model, b.From, b.To, b.InFlight, b.Leaving, b.LeaseMs,
			b.ChecksFences, b.ResolvesRequests, orderText(b.Order))
	}
}

func printControl(w io.Writer, c operator.ControlStatus) {
	fmt.Fprintf(w, "control: %s in term %d, leader %s, lease %t, voting %t\n", c.Role, c.Term, c.Leader, c.Lease, c.Voting)
	fmt.Fprintf(w, "control: commit %d, applied %d, snapshot at %d\n", c.Commit, c.Applied, c.Snapshot)
	fmt.Fprintf(w, "control: %d of %d voters: %s\n", len(c.Voters), c.Size, strings.Join(c.Voters, ", "))
	if c.Level > 0 { // builds before levels don't say it
		fmt.Fprintf(w, "control: build %s, level %d in force, levels up to %d supported\n", c.Build, c.Level, c.SupportedLevel)
	}
	if len(c.LevelHeldBy) > 0 {
		fmt.Fprintf(w, "control: level %d held back: %s\n", c.Level+1, strings.Join(c.LevelHeldBy, ", "))
	}
	for _, l := range c.Learners {
		fmt.Fprintf(w, "control: learner %s at %d, caught up %t\n", l.Name, l.Match, l.CaughtUp)
	}
}

// orderText formats the last order of a server as its fencing token and state, such as
// "3/12 done".
func orderText(o fleet.OrderReport) string {
	if o.State == "" {
		return "none"
	}
	return fmt.Sprintf("%d/%d %s", o.Fence.Term, o.Fence.Number, o.State)
}
