package soaker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrowdShapes guards against a crowd that burdens no entry, with which the soak would pass without testing anything.
// Its load is one member of each shape on a server without limits.
func TestCrowdShapes(t *testing.T) {
	for _, shape := range crowdShapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			var requests, bodyBytes, fields, complete atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				fields.Add(int64(len(r.Header["A"])))
				body, err := io.ReadAll(r.Body)
				bodyBytes.Add(int64(len(body)))
				if err == nil {
					complete.Add(1)
				}
			}))
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			runMember(ctx, "127.0.0.1", crowdTarget{address: server.Listener.Addr().String(), method: "POST", path: "/"}, shape)
			server.CloseClientConnections()
			// Close waits for the handlers.
			server.Close()
			wantBytes, wantRequests := int64(0), int64(1)
			switch {
			case strings.HasSuffix(shape.name, "stop short"):
				wantBytes = maxBodyBytes - 1
			case shape.name == "slow senders":
				wantBytes = 5
			case shape.name == "bodies of short fields":
				wantBytes = fieldBodyBytes - 100
			case shape.name == "short header fields":
				assert.Assert(t, fields.Load() >= fieldHeaderBytes/6)
			case shape.name == "requests sent ahead":
				wantRequests = pipelinedRequests
			case shape.name == "slow headers":
				wantRequests = 0
			}
			assert.Assert(t, requests.Load() >= wantRequests && bodyBytes.Load() >= wantBytes, "%d requests, %d bytes", requests.Load(), bodyBytes.Load())
			incomplete := strings.HasSuffix(shape.name, "stop short") || strings.HasPrefix(shape.name, "slow senders")
			assert.Assert(t, !incomplete || complete.Load() == 0)
		})
	}
}

// TestMonitorReportsMemory guards against an entry that takes too much memory unnoticed. Its load is one allocation.
func TestMonitorReportsMemory(t *testing.T) {
	self, err := os.FindProcess(os.Getpid())
	assert.NilError(t, err)
	var m monitor
	var r Result
	e := &entry{process: &process{name: "entry-0", cmd: &exec.Cmd{Process: self}}}
	assert.Assert(t, bytes.Count(bytes.Repeat([]byte{1}, entryMemoryMB<<20), []byte{1}) > 0)
	for range 2 {
		m.readPeak(e)
	}
	m.summarize(&r)
	assert.Equal(t, len(r.Violations), 1, "%v", r.Violations)
	assert.Assert(t, strings.Contains(r.Violations[0], "its limits are 184 MB and 4100"))
}
