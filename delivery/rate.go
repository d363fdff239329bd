package delivery

import "time"

const (
	// measureTime and measureBytes are what a rate needs, either of them, until it is known.
	measureTime  = 250 * time.Millisecond
	measureBytes = 32 << 10
	// rateWindow is half of the time over which a rate is measured.
	rateWindow = 500 * time.Millisecond
)

// meter measures the rate at which bytes come, over the latest one or two windows. It begins with the first bytes, so
// that the time until an answer begins doesn't count.
type meter struct {
	begun, window   time.Time // of the window before, and of the current one
	before, current int
}

func (m *meter) add(now time.Time, bytes int) {
	if m.begun.IsZero() {
		m.begun, m.window = now, now
		return
	}
	if now.Sub(m.window) >= rateWindow {
		m.begun, m.window, m.before, m.current = m.window, now, m.current, 0
	}
	m.current += bytes
}

// rate returns the bytes a second, and false if it isn't known yet.
func (m *meter) rate(now time.Time) (bytesPerSecond float64, ok bool) {
	if m.begun.IsZero() {
		return 0, false
	}
	bytes, d := m.before+m.current, max(now.Sub(m.begun), time.Millisecond)
	return float64(bytes) / d.Seconds(), d >= measureTime || bytes >= measureBytes
}
