package keeper_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/faker"
	"persimmontrail/internal/keeper"
	"persimmontrail/pkg/descriptor"
)

// TestReaderTransfersChangesOnly guards against an entry that transfers the whole document for each confirmation, and
// against one that misses a change or holds a removed configuration.
func TestReaderTransfersChangesOnly(t *testing.T) {
	stand := &faker.Store{}
	var unchanged, whole int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &statusWriter{ResponseWriter: w}
		stand.ServeHTTP(counted, r)
		if r.Method == http.MethodGet && counted.status == http.StatusNotModified {
			unchanged++
		} else if r.Method == http.MethodGet && counted.status == http.StatusOK {
			whole++
		}
	}))
	defer server.Close()
	store := keeper.NewHTTPStore(server.URL)
	reader := &keeper.ConfigurationReader{Store: store}
	read := func() descriptor.Revision {
		cfg, err := reader.Read(t.Context())
		assert.NilError(t, err)
		return cfg.Revision
	}
	change := func(base descriptor.Revision, id string) {
		_, err := keeper.Configurations{Store: store}.Replace(t.Context(), &descriptor.Configuration{}, base, "test", id)
		assert.NilError(t, err)
	}
	assert.Equal(t, read(), descriptor.Revision(0))
	change(0, "first")
	assert.Equal(t, read(), descriptor.Revision(1))
	unchanged, whole = 0, 0
	for range 5 {
		assert.Equal(t, read(), descriptor.Revision(1))
	}
	assert.Equal(t, unchanged, 5)
	assert.Equal(t, whole, 0)
	change(1, "second")
	assert.Equal(t, read(), descriptor.Revision(2))
	_, version, err := store.Get(t.Context(), keeper.ConfigurationKey)
	assert.NilError(t, err)
	assert.NilError(t, store.Delete(t.Context(), keeper.ConfigurationKey, version))
	assert.Equal(t, read(), descriptor.Revision(0))
	stand.Switch(func(s *faker.StoreSwitches) { s.Down = true })
	_, err = reader.Read(t.Context())
	assert.ErrorIs(t, err, keeper.ErrUnavailable)
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
