package consensus

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

var kindNames = map[Kind]string{
	KindPreVote: "pre-vote", KindPreVoteReply: "pre-vote reply", KindVote: "vote", KindVoteReply: "vote reply",
	KindAppend: "append", KindAppendReply: "append reply", KindSnapshot: "snapshot", KindSnapshotReply: "snapshot reply",
	KindHello: "hello", KindHelloReply: "hello reply", KindBootstrap: "found", KindVerify: "verify",
	KindVerifyReply: "verify reply", KindTimeoutNow: "timeout now",
}

func formatMessage(m Message) string {
	text := fmt.Sprintf("%s > %s %s term %d", m.From, m.To, kindNames[m.Kind], m.Term)
	if m.PrevIndex > 0 {
		text += fmt.Sprintf(" after %d.%d", m.PrevTerm, m.PrevIndex)
	}
	for _, e := range m.Entries {
		text += fmt.Sprintf(" entry %d.%d", e.Term, e.Index)
		if e.Kind == EntryMembership {
			text += " membership"
		}
	}
	if m.Commit > 0 {
		text += fmt.Sprintf(" commit %d", m.Commit)
	}
	if m.Hint > 0 && m.Kind != KindVerifyReply {
		text += fmt.Sprintf(" hint %d", m.Hint)
	}
	if m.Reject {
		text += " reject"
	}
	if m.Unverified {
		text += " unverified"
	}
	return text
}

// TestMessageSequencesMatchGoldenFiles compares the messages of some short runs with recordings.
func TestMessageSequencesMatchGoldenFiles(t *testing.T) {
	sessions := map[string]func(t *testing.T, c *cluster){
		"founding": func(t *testing.T, c *cluster) { c.propose(t, "a") },
		"transfer": func(t *testing.T, c *cluster) {
			c.recorded = nil
			c.replicas[c.leader()].node.Transfer()
			c.tick(3)
		},
		"restart": func(t *testing.T, c *cluster) {
			follower := c.others(c.leader())[0]
			c.crash(follower)
			c.propose(t, "b")
			c.recorded = nil
			c.start(follower)
			c.tick(4)
		},
		"emptied": func(t *testing.T, c *cluster) {
			follower := c.others(c.leader())[0]
			c.replicas[follower].saved = c.newSavedState()
			c.recorded = nil
			c.start(follower)
			c.tick(16)
		},
	}
	for name, run := range sessions {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3, 0, 7)
			c.recording = true
			c.awaitLeader()
			c.tick(20)
			if name == "founding" {
				c = newCluster(t, 3, 0, 7)
				c.recording = true
			}
			run(t, c)
			var lines []string
			for _, m := range c.recorded {
				lines = append(lines, formatMessage(m))
			}
			got := strings.Join(lines, "\n") + "\n"
			path := filepath.Join("testdata", name+".golden")
			if *update {
				is.NoErr(os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}
