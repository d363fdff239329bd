package config

import (
	"fmt"
	"testing"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// referenceModel is a single copy of the configuration that remembers all changes.
type referenceModel struct {
	version  uint64
	base     string
	accepted map[string]uint64
}

func (model *referenceModel) apply(c Change) (bool, uint64) {
	if v, ok := model.accepted[c.ID]; ok {
		return true, v
	}
	if c.Expect != model.version {
		return false, model.version
	}
	model.version++
	model.base = c.Base
	model.accepted[c.ID] = model.version
	return true, model.version
}

// TestConcurrentChangesMatchReferenceModel applies changes made against current and old versions,
// with duplicates and restarts. Every result must match the reference model.
func TestConcurrentChangesMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory()
		model := &referenceModel{accepted: make(map[string]uint64)}
		var sent []Change
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				behind := rapid.Uint64Range(0, min(2, model.version)).Draw(t, "behind")
				c := Change{ID: fmt.Sprint("c", len(sent)), Expect: model.version - behind, Base: fmt.Sprint("text ", len(sent))}
				sent = append(sent, c)
				checkApply(t, h, model, c)
			},
			"send again": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing was sent")
				}
				checkApply(t, h, model, rapid.SampledFrom(sent).Draw(t, "change"))
			},
			"restart": func(t *rapid.T) {
				restored, err := FromImage(h.Image())
				if err != nil {
					t.Fatal(err)
				}
				h = restored
			},
		})
	})
}

func checkApply(t *rapid.T, h *History, model *referenceModel, c Change) {
	before := h.Current().Version
	r := h.Apply(c)
	accepted, version := model.apply(c)
	if r.Accepted != accepted || r.Version != version {
		t.Fatalf("change %s against version %d: accepted %t, version %d; the model has %t, %d", c.ID, c.Expect, r.Accepted, r.Version, accepted, version)
	}
	if h.Current().Version < before || h.Current().Base != model.base {
		t.Fatalf("the current version is %d with %q; the model has %d with %q", h.Current().Version, h.Current().Base, model.version, model.base)
	}
	if !accepted && (r.Current.Version != model.version || r.Current.Base != model.base) {
		t.Fatalf("the refusal returns version %d as current, want %d", r.Current.Version, model.version)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	big := string(make([]byte, 1<<20))
	for i := range uint64(2 * maxRetainedVersions) {
		is.True(h.Apply(Change{ID: fmt.Sprint(i), Expect: i, Base: big}).Accepted)
	}
	is.Equal(len(h.Documents()), maxRetainedBytes/len(big))
	is.Equal(h.Current().Version, uint64(2*maxRetainedVersions))
	is.Equal(h.totalSize, maxRetainedBytes)
}

func TestChangeSentAgainAfterDeduplicationLimitIsRefused(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	first := Change{ID: "first", Base: "first"}
	is.True(h.Apply(first).Accepted)
	for i := range uint64(maxRetainedChanges) {
		is.True(h.Apply(Change{ID: fmt.Sprint(i), Expect: i + 1}).Accepted)
	}
	is.True(!h.Apply(first).Accepted)
	is.Equal(len(h.versionByChange), maxRetainedChanges)
}

func TestDiffShowsEachFile(t *testing.T) {
	is := is.New(t)
	a := Document{Version: 3, Base: "[limits]\nmax_tokens = 100\n", Overlays: map[string]string{"kandy": "[limits]\nmax_tokens = 50\n"}}
	b := Document{Base: "[limits]\nmax_tokens = 200\n", Overlays: map[string]string{"galle": "[limits]\nmax_tokens = 9"}}
	is.Equal(Diff(a, b), `--- base.ini (version 3)
+++ base.ini (not applied)
@@ -1,2 +1,2 @@
 [limits]
-max_tokens = 100
+max_tokens = 200
--- galle.ini (version 3)
+++ galle.ini (not applied)
@@ -0,0 +1,2 @@
+[limits]
+max_tokens = 9
--- kandy.ini (version 3)
+++ kandy.ini (not applied)
@@ -1,2 +0,0 @@
-[limits]
-max_tokens = 50
`)
	is.Equal(Diff(a, a), "")
}

// Guards against a change that shows no difference, so that an operator takes it for applied.
func TestMissingLastNewlineIsADifference(t *testing.T) {
	is := is.New(t)
	with, without := Document{Version: 1, Base: "[limits]\nmax_body = 9\n"}, Document{Base: "[limits]\nmax_body = 9"}
	is.Equal(Diff(with, without), `--- base.ini (version 1)
+++ base.ini (not applied)
@@ -1,2 +1,2 @@
 [limits]
-max_body = 9
+max_body = 9
\ No newline at end of file
`)
	is.Equal(Diff(without, without), "")
	is.True(Diff(Document{Base: "\n"}, Document{}) != "")
}
