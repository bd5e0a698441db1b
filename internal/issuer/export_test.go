package issuer

import "time"

// Advance moves the clock of the reloader, so that the next handshake looks at the files.
func (r *Reloader) Advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked = r.checked.Add(-2 * time.Second)
}
