package issuer

import "time"

// ExpireCheckInterval moves the last check of the files back by more than checkInterval, so that the next handshake checks
// them again.
func (r *Reloader) ExpireCheckInterval() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCheck = r.lastCheck.Add(-2 * time.Second)
}
