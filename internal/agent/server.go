package agent

import (
	"net/http"

	"persimmontrail/internal/encoder"
	"persimmontrail/internal/limiter"
)

// MaxSyncBytes bounds the body of a call; a longer one is refused as a whole.
const MaxSyncBytes = 4 << 20

// startBytes and stopBytes are the memory of a decoded start and stop without their texts, which the body's size covers.
const (
	startBytes = 256
	stopBytes  = 128
)

// Handler returns the HTTP handler of the leaders' calls: a POST of a SyncRequest to SyncPath is answered with a
// Report, both in CBOR.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+SyncPath, func(w http.ResponseWriter, r *http.Request) {
		body, err := limiter.ReadBody(w, r, MaxSyncBytes)
		if err != nil {
			http.Error(w, err.Error(), limiter.Status(err))
			return
		}
		var s SyncRequest
		err = limiter.Decode(w, r, func() (limiter.Bytes, error) {
			s, err = DecodeSyncRequest(body)
			return limiter.Bytes(len(s.Starts)*startBytes + len(s.Stops)*stopBytes), err
		})
		if err != nil {
			a.Log.Warn("failed to decode sync call", "err", err)
			http.Error(w, err.Error(), limiter.Status(err))
			return
		}
		data, err := encoder.Marshal(a.Sync(r.Context(), s))
		if err != nil {
			a.Log.Error("failed to encode report", "err", err)
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(data); err != nil {
			a.Log.Debug("failed to send report", "err", err)
		}
	})
	return mux
}
