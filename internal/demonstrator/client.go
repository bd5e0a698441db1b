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

// call sends a request to an entry, selected by entry modulo the number of entries, and decodes the
// answer. It returns the HTTP status.
func (r *demoRun) call(ctx context.Context, entry int, method, path string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, r.entries[entry%len(r.entries)]+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := r.http.Do(request)
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

// callUntilSuccess repeats a call until it succeeds, since entries need time after the start to
// connect to the store and to each other.
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

// awaitReady waits until every region has a scheduler and all agents use the current configuration.
func (r *demoRun) awaitReady(ctx context.Context, agents int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready, err := r.isReady(ctx, agents)
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

// isReady reports whether the deployment is ready; otherwise the error says what is missing.
func (r *demoRun) isReady(ctx context.Context, agents int) (bool, error) {
	readyAgents := 0
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
				readyAgents++
			}
		}
	}
	return readyAgents == agents, fmt.Errorf("%d of %d agents are ready", readyAgents, agents)
}
