package supervisor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/faker"
	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// TestAgentOverNetwork guards against an agent that works only with fake transports. Reports, a gang, a request and
// the shutdown use QUIC and HTTP.
func TestAgentOverNetwork(t *testing.T) {
	authority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	keys, err := authority.WriteCredentials(t.TempDir(), messenger.RoleAgent, "agent-1")
	assert.NilError(t, err)
	serverTLS, err := authority.Server(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)
	clientTLS, err := authority.Client(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)

	reports := make(chan messenger.Report, 1000)
	entry := &messenger.Server{Address: "127.0.0.1:0", TLS: serverTLS}
	entry.Handle = func(_ context.Context, _ messenger.Identity, _ messenger.Kind, body []byte) (any, error) {
		var r messenger.Report
		if err := messenger.Decode(body, &r); err != nil {
			return nil, err
		}
		reports <- r
		return messenger.ReportAnswer{
			Permit:  messenger.Permit{Revision: 1, ValidFor: 2 * time.Second},
			Entries: []string{entry.Addr()},
		}, nil
	}
	assert.NilError(t, entry.Listen())
	served := make(chan error, 1)
	go func() { served <- entry.Serve(t.Context()) }()
	client := &messenger.Client{TLS: clientTLS}
	defer client.Close()

	worker := &faker.Worker{Description: descriptor.Worker{ID: "w", Cores: 8, Memory: 1000, Accelerators: 8}}
	workerServer := httptest.NewServer(worker)
	defer workerServer.Close()
	endpoint := &faker.Endpoint{ID: "e", Service: "fit", Slots: 2, Connections: 4}
	endpointServer := httptest.NewServer(endpoint)
	defer endpointServer.Close()
	endpoint.URL = endpointServer.URL

	ctx, cancel := context.WithCancel(t.Context())
	addresses := make(chan [2]string, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, Settings{
			Name: "agent-1", Listen: "127.0.0.1:0", HTTPListen: "127.0.0.1:0", Entries: []string{entry.Addr()},
			FailureDomain: "montreal", Region: "qc-sud", WorkerURL: workerServer.URL, Keys: keys,
			Ready: func(message, web string) { addresses <- [2]string{message, web} },
		})
	}()
	address := <-addresses
	agentURL := "http://" + address[1]
	assert.NilError(t, endpoint.AnnounceOnce(ctx, agentURL, http.DefaultClient))
	waitForReport(t, reports, "worker", func(r messenger.Report) bool { return r.Worker != nil })

	call := func(kind messenger.Kind, request, answer any) {
		t.Helper()
		assert.NilError(t, client.Call(ctx, address[0], kind, request, answer))
	}
	gang := messenger.GangAttempt{Key: testKey, Attempt: 1, Epoch: 1}
	var a messenger.GangAnswer
	call(messenger.KindHold, messenger.HoldRequest{
		Gang: gang, Tasks: []int{3}, Members: 1, RunTime: time.Hour, PerTask: descriptor.Resources{Accelerators: 2},
	}, &a)
	assert.Assert(t, a.OK, a.Refusal)
	for _, k := range []messenger.Kind{messenger.KindCommit, messenger.KindStart, messenger.KindConfirm} {
		call(k, messenger.GangRequest{Gang: gang}, &a)
		assert.Assert(t, a.OK, a.Refusal)
	}
	waitForReport(t, reports, "running gang", func(r messenger.Report) bool {
		return len(r.Tasks) == 1 && r.Tasks[0].State == messenger.TaskRunning && r.Tasks[0].Confirmed
	})
	assert.NilError(t, endpoint.AnnounceOnce(ctx, agentURL, http.DefaultClient))
	var state struct{ Agent string }
	assert.NilError(t, json.Unmarshal([]byte(get(t, agentURL+"/v1/state")), &state))
	var s messenger.ServeAnswer
	call(messenger.KindServe, serveMessage(state.Agent, "r1", true), &s)
	assert.Equal(t, s.Result, descriptor.ResultDone, s.Reason)
	for _, path := range []string{"/healthz", "/readyz", "/metrics", "/v1/state"} {
		assert.Assert(t, get(t, agentURL+path) != "", path)
	}

	cancel()
	waitForReport(t, reports, "stopped gang of a leaving agent", func(r messenger.Report) bool {
		return r.State == messenger.AgentLeaving && len(r.Tasks) == 1 && r.Tasks[0].State == messenger.TaskStopped
	})
	assert.NilError(t, <-ended)
	assert.Equal(t, worker.Stats().Starts, int64(1))
	assert.NilError(t, entry.Shutdown(t.Context()))
	<-served
}

func waitForReport(t *testing.T, reports <-chan messenger.Report, description string, match func(messenger.Report) bool) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case r := <-reports:
			if match(r) {
				return
			}
		case <-timeout:
			t.Fatalf("no report of: %s", description)
		}
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, fmt.Sprintf("%s: %s", url, data))
	return string(data)
}
