package agent

import (
	"io"
	"net/http"

	"persimmontrail/internal/encoder"
)

// MaxSyncBytes bounds the body of a call; a longer one is refused as a whole.
const MaxSyncBytes = 4 << 20

// Handler returns the HTTP handler of the leaders' calls: a POST of a SyncRequest to SyncPath is answered with a
// Report, both in CBOR.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+SyncPath, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxSyncBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s, err := DecodeSyncRequest(body)
		if err != nil {
			a.Log.Warn("failed to decode sync call", "err", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
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
