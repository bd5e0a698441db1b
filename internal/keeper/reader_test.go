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

// TestConfigurationReaderTransfersOnlyChanges guards against a reader that transfers the whole document for each read,
// and against one that misses a change, returns a deleted configuration or returns the cached one while the store is
// down.
func TestConfigurationReaderTransfersOnlyChanges(t *testing.T) {
	fake := &faker.Store{}
	var notModifiedCount, fullResponseCount int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusWriter{ResponseWriter: w}
		fake.ServeHTTP(recorder, r)
		if r.Method == http.MethodGet && recorder.status == http.StatusNotModified {
			notModifiedCount++
		} else if r.Method == http.MethodGet && recorder.status == http.StatusOK {
			fullResponseCount++
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
	notModifiedCount, fullResponseCount = 0, 0
	for range 5 {
		assert.Equal(t, read(), descriptor.Revision(1))
	}
	assert.Equal(t, notModifiedCount, 5)
	assert.Equal(t, fullResponseCount, 0)
	change(1, "second")
	assert.Equal(t, read(), descriptor.Revision(2))
	_, version, err := store.Get(t.Context(), keeper.ConfigurationKey)
	assert.NilError(t, err)
	assert.NilError(t, store.Delete(t.Context(), keeper.ConfigurationKey, version))
	assert.Equal(t, read(), descriptor.Revision(0))
	fake.UpdateSwitches(func(s *faker.StoreSwitches) { s.Down = true })
	_, err = reader.Read(t.Context())
	assert.ErrorIs(t, err, keeper.ErrUnavailable)
}

// TestJobReaderSeesEachChange guards against a reader that returns outdated records after a document was changed or
// deleted.
func TestJobReaderSeesEachChange(t *testing.T) {
	server := httptest.NewServer(&faker.Store{})
	defer server.Close()
	store := keeper.NewHTTPStore(server.URL)
	jobs := keeper.Jobs{Store: store, Region: "qc-sud"}
	reader := &keeper.JobReader{Jobs: jobs}
	checkStates := func(want map[descriptor.JobID]keeper.JobState) {
		t.Helper()
		records, err := reader.All(t.Context())
		assert.NilError(t, err)
		got := map[descriptor.JobID]keeper.JobState{}
		for _, r := range records {
			got[r.Job.ID] = r.State
		}
		assert.DeepEqual(t, got, want)
	}
	checkStates(map[descriptor.JobID]keeper.JobState{})
	for _, id := range []descriptor.JobID{"a", "b"} {
		_, err := jobs.Accept(t.Context(), keeper.JobRecord{Job: descriptor.Job{ID: id, Workspace: "w"}})
		assert.NilError(t, err)
	}
	for range 2 {
		checkStates(map[descriptor.JobID]keeper.JobState{"a": keeper.JobQueued, "b": keeper.JobQueued})
	}
	_, err := jobs.Change(t.Context(), descriptor.JobKey{Workspace: "w", Job: "a"}, func(r *keeper.JobRecord) error {
		r.State = keeper.JobRunning
		return nil
	})
	assert.NilError(t, err)
	checkStates(map[descriptor.JobID]keeper.JobState{"a": keeper.JobRunning, "b": keeper.JobQueued})
	documents, err := store.List(t.Context(), "jobs/")
	assert.NilError(t, err)
	for key := range documents {
		_, version, err := store.Get(t.Context(), key)
		assert.NilError(t, err)
		assert.NilError(t, store.Delete(t.Context(), key, version))
	}
	checkStates(map[descriptor.JobID]keeper.JobState{})
}

// statusWriter is a ResponseWriter that records the status.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
