package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"persimmontrail/internal/coordinator"
)

// call sends body as JSON to the entry with index entryIndex modulo the number of entries, and decodes the
// response into answer. It returns the HTTP status, or 0 if no complete response arrived. A status of 400 or
// above is an error, but the response is decoded nevertheless.
func (r *demoRun) call(ctx context.Context, entryIndex int, method, path string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, r.entries[entryIndex%len(r.entries)]+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := r.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return response.StatusCode, fmt.Errorf("%s: %w", strings.TrimSpace(string(data)), err)
	}
	if response.StatusCode >= 400 {
		return response.StatusCode, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	return response.StatusCode, nil
}

// callUntilSuccess repeats a call to the first entry until it succeeds or readyTimeout has passed, since
// entries need time after the start to connect to the store and to each other.
func (r *demoRun) callUntilSuccess(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, err := r.call(ctx, 0, method, path, body, answer)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// awaitReady waits until isReady reports true, for at most readyTimeout.
func (r *demoRun) awaitReady(ctx context.Context, agentCount int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready, err := r.isReady(ctx, agentCount)
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready within %v: %w", readyTimeout, errors.Join(err, ctx.Err()))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// isReady reports whether every entry knows a scheduler of every region, and agentCount agents have a worker
// and an endpoint and use the configuration of their entry. The error says what is missing and has no meaning
// if the result is true.
func (r *demoRun) isReady(ctx context.Context, agentCount int) (bool, error) {
	readyAgentCount := 0
	for i := range r.entries {
		var s coordinator.Status
		if _, err := r.call(ctx, i, http.MethodGet, "/v1/status", nil, &s); err != nil {
			return false, err
		}
		if len(s.Regions) != len(r.entries) {
			return false, fmt.Errorf("%d schedulers: %v", len(s.Regions), s.Notes)
		}
		for _, a := range s.Agents {
			if a.Revision == s.Revision && a.Endpoint != nil && a.Worker != nil {
				readyAgentCount++
			}
		}
	}
	return readyAgentCount == agentCount, fmt.Errorf("%d of %d agents are ready", readyAgentCount, agentCount)
}
