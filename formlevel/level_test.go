package formlevel

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A level in force before all replicas know it makes those that don't stop, or lets them diverge.
func TestLevelIsHeldBack(t *testing.T) {
	a, b := Replica{"galle-1", 1}, Replica{"kandy-1", 2}
	for _, test := range []struct {
		name string
		hear func(tr *Tracker, now time.Duration)
		want []Hold
	}{
		{"all name it", func(tr *Tracker, now time.Duration) { tr.Hear(now, a, 2); tr.Hear(now, b, 3) }, nil},
		{"a replica names none", func(tr *Tracker, now time.Duration) { tr.Hear(now, a, 2); tr.Hear(now, b, 0) },
			[]Hold{{"kandy-1", "applies levels up to 1"}}},
		{"a replica is cut off from the start", func(tr *Tracker, now time.Duration) { tr.Hear(now, a, 2) },
			[]Hold{{"kandy-1", "was not heard of"}}},
		{"a replica is cut off later", func(tr *Tracker, now time.Duration) {
			tr.Hear(now, a, 2)
			if now < SettleTime-time.Minute {
				tr.Hear(now, b, 2)
			}
		}, []Hold{{"kandy-1", "was last heard 61 s ago"}}},
		{"a replica went back to the older build meanwhile", func(tr *Tracker, now time.Duration) {
			tr.Hear(now, a, 2)
			level := Level(2)
			if now == time.Minute {
				level = 1
			}
			tr.Hear(now, b, level)
		}, []Hold{{"kandy-1", "has named level 2 for 539 of 600 s"}}},
		{"a replica has lost its disk meanwhile", func(tr *Tracker, now time.Duration) {
			tr.Hear(now, a, 2)
			disk := b
			if now < time.Minute {
				disk.Disk = 9
			}
			tr.Hear(now, disk, 2)
		}, []Hold{{"kandy-1", "has named level 2 for 540 of 600 s"}}},
		{"a replica was not heard for a while", func(tr *Tracker, now time.Duration) {
			tr.Hear(now, a, 2)
			if now < time.Minute || now > time.Minute+2*maxSilence {
				tr.Hear(now, b, 2)
			}
		}, []Hold{{"kandy-1", "has named level 2 for 529 of 600 s"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tr Tracker
			for now := time.Duration(0); now <= SettleTime; now += time.Second {
				test.hear(&tr, now)
			}
			next, holds := tr.Next(SettleTime, 1, "colombo-1", 2, []Replica{a, b})
			is.Equal(next, Level(2))
			is.Equal(holds, test.want)
			_, holds = tr.Next(SettleTime, 1, "colombo-1", 1, []Replica{a})
			is.Equal(holds, []Hold{{"colombo-1", "applies levels up to 1"}})
		})
	}
}
