package issuer

import "time"

// ExpireCheckInterval moves the time of the last check back by more than checkInterval, so that the next handshake
// checks the files again.
func (r *Reloader) ExpireCheckInterval() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCheck = r.lastCheck.Add(-2 * time.Second)
}
