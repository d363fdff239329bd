package quarantine

// maxWithdrawn bounds the remembered crashes that were taken back; the oldest is forgotten first.
const maxWithdrawn = 1024

// withdrawnCrashes holds the crashes that were presumed and then taken back, since the server went on.
// Reports of them may still be on their way from instances that don't know it.
type withdrawnCrashes struct {
	known map[Crash]bool
	order []Crash // the oldest first
}

func (w *withdrawnCrashes) add(c Crash) {
	if w.known[c] {
		return
	}
	if len(w.order) >= maxWithdrawn {
		delete(w.known, w.order[0])
		w.order = w.order[1:]
	}
	w.known[c] = true
	w.order = append(w.order, c)
}

func (w *withdrawnCrashes) has(c Crash) bool { return w.known[c] }
