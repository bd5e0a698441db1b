package caretaker

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// maxSync bounds a call: 60 starts with specs of 4,000 bytes take 0.3 MB.
const maxSync = 4 << 20

// Handler serves SyncPath.
func (c *Caretaker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+SyncPath, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSync))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var s Sync
		if err := cbor.Unmarshal(body, &s); err != nil {
			c.Log.Warn("refused a call that cannot be read", "err", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := cbor.Marshal(c.Sync(r.Context(), s))
		if err != nil {
			c.Log.Error("report not encoded", "err", err)
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(data); err != nil {
			c.Log.Debug("report not delivered", "err", err)
		}
	})
	return mux
}
