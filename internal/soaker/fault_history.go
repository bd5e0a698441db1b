package soaker

import (
	"sync"
	"time"
)

// faultHistory records when a part of the deployment had a fault.
type faultHistory struct {
	mu        sync.Mutex
	intervals []interval
}

// interval is the time that a fault lasted.
type interval struct{ from, to time.Time }

// add records a fault that starts now and is expected to last for d.
func (h *faultHistory) add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.intervals = append(h.intervals, interval{time.Now(), time.Now().Add(d)})
}

// faultFree reports whether no recorded fault overlaps the time between from and to.
func (h *faultHistory) faultFree(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.intervals {
		if i.from.Before(to) && i.to.After(from) {
			return false
		}
	}
	return true
}
