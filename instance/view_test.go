package instance

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestViewPatchIsSmall(t *testing.T) {
	is := is.New(t)
	var old bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&old, "[workspace w%d]\nshare = %d\n", i, i*7919%101)
	}
	view := bytes.Replace(old.Bytes(), []byte("[workspace w77]"), []byte("[workspace w77-renamed]"), 1)
	view = append(view, "[workspace new]\n"...)
	patch, err := CompressView(view, old.Bytes())
	is.NoErr(err)
	got, err := ExpandView(patch, old.Bytes())
	is.NoErr(err)
	is.True(bytes.Equal(got, view))
	t.Logf("view %d bytes, patch %d bytes", len(view), len(patch))
	is.True(len(patch) < len(view)/50)
	whole, err := CompressView(view, nil)
	is.NoErr(err)
	got, err = ExpandView(whole, nil)
	is.NoErr(err)
	is.True(bytes.Equal(got, view))
}

func FuzzExpandView(f *testing.F) {
	base := []byte("[service draft]\nkind = draft\n")
	patch, err := CompressView([]byte("[service draft]\nkind = plain\n"), base)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(patch)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		view, err := ExpandView(data, base)
		if err == nil && len(view) > maxViewBytes {
			t.Fatalf("a view of %d bytes", len(view))
		}
	})
}
