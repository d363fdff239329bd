package instance

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// Guards against texts that are kept without a bound on their size, and against the newest one not being kept.
func TestKeptTextsAreBoundedInNumberAndSize(t *testing.T) {
	is := is.New(t)
	c := NewPatchCache(3)
	for version := range uint64(5) {
		c.Add(version+1, []byte("text"))
	}
	is.True(c.Text(2) == nil)
	is.True(c.Text(3) != nil)
	c.Add(6, make([]byte, maxCachedBytes+1))
	is.True(c.Text(5) == nil)
	is.True(c.Text(6) != nil)
	c.Add(7, make([]byte, maxCachedBytes/2))
	c.Add(8, make([]byte, maxCachedBytes/2))
	is.True(c.Text(6) == nil)
	is.True(c.Text(7) != nil)
}

// Guards against a patch that is encoded for each caller anew, and against one for a caller with other bytes.
func TestPatchIsEncodedOnceAndOnlyForTheSameBytes(t *testing.T) {
	is := is.New(t)
	c := NewPatchCache(3)
	c.Add(1, []byte("one"))
	c.Add(2, []byte("two"))
	hash := HashView([]byte("one"))
	first, err := c.Patch(2, 1, hash)
	is.NoErr(err)
	again, err := c.Patch(2, 1, hash)
	is.NoErr(err)
	is.True(&first[0] == &again[0])
	other, err := c.Patch(2, 1, hash+1)
	is.NoErr(err)
	is.True(other == nil)
	text, err := ExpandView(first, []byte("one"))
	is.NoErr(err)
	is.Equal(string(text), "two")
}

// documentOf returns a text like a routing document of n routes or workspaces, and the text after a change of one line.
func documentOf(n int, line string) (before, after []byte) {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, line, i, i*7919%10007, uint64(i)*0x9e3779b97f4a7c15)
	}
	before = b.Bytes()
	old := fmt.Sprintf(line, n/2, n/2*7919%10007, uint64(n/2)*0x9e3779b97f4a7c15)
	return before, bytes.Replace(before, []byte(old), []byte(fmt.Sprintf(line, n/2, 77, 99)), 1)
}

// Guards against a patch that makes a control instance with little memory collect garbage for each change of a document
// (docs/incidents/election-storm.md).
func TestPatchTakesNoMoreMemoryThanTheLargestText(t *testing.T) {
	is := is.New(t)
	before, after := documentOf(1400, `{"Prefix":"/r%07d","Service":"s%05d","Key":"%016x","TimeLimitMs":3000,"ObjectiveMs":300,"Methods":["GET","POST"]},`+"\n")
	var begin, end runtime.MemStats
	runtime.ReadMemStats(&begin)
	patch, err := CompressView(after, before)
	runtime.ReadMemStats(&end)
	is.NoErr(err)
	text, err := ExpandView(patch, before)
	is.NoErr(err)
	is.Equal(text, after)
	is.True(len(patch) < 1024)
	allocated := end.TotalAlloc - begin.TotalAlloc
	t.Logf("%d bytes allocated for a patch of %d bytes", allocated, len(patch))
	is.True(allocated <= maxViewBytes)
}

func BenchmarkPatch(b *testing.B) {
	for _, size := range []struct {
		name string
		n    int
		line string
	}{
		{"routes=1400", 1400, `{"Prefix":"/r%07d","Service":"s%05d","Kind":"repeatable","Key":"%016x","TimeLimitMs":3000,"ObjectiveMs":300,"Priority":3,"MaxAttempts":3,"Split":[{"Release":"a","Weight":90},{"Release":"b","Weight":10}],"Methods":["GET","POST"]},` + "\n"},
		{"workspaces=37000", 37000, `{"Name":"workspace-%07d","Priority":%d,"Keys":["%016x"]},` + "\n"},
	} {
		before, after := documentOf(size.n, size.line)
		patch, err := CompressView(after, before)
		if err != nil {
			b.Fatal(err)
		}
		whole, err := CompressView(after, nil)
		if err != nil {
			b.Fatal(err)
		}
		measure := func(name string, bytes int, f func() error) {
			b.Run(size.name+"/"+name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := f(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(after)), "text-bytes")
				b.ReportMetric(float64(bytes), "sent-bytes")
			})
		}
		measure("encode=patch", len(patch), func() error { _, err := CompressView(after, before); return err })
		measure("encode=whole", len(whole), func() error { _, err := CompressView(after, nil); return err })
		measure("decode=patch", len(patch), func() error { _, err := ExpandView(patch, before); return err })
		measure("decode=whole", len(whole), func() error { _, err := ExpandView(whole, nil); return err })
		measure("hash", 0, func() error { HashView(after); return nil })
	}
}
