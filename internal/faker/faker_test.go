package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/pkg/descriptor"
)

// call makes one call in process and returns the status and body, or status 0 if there is no complete answer. A body
// other than []byte is sent as JSON. headers alternates between names and values.
func call(t *testing.T, h http.Handler, method, path string, body any, headers ...string) (int, string) {
	t.Helper()
	data, ok := body.([]byte)
	if !ok {
		var err error
		data, err = json.Marshal(body)
		assert.NilError(t, err)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://fake"+path, bytes.NewReader(data))
	assert.NilError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := Transport{Handler: h}.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(got)
	}
	return response.StatusCode, string(got)
}

// step is a call that is made after a wait, with the expected status and a text that the body must contain.
type step struct {
	name         string
	wait         time.Duration
	method, path string
	body         any
	status       int
	contains     string
}

// runSteps makes the calls in order and checks their answers.
func runSteps(t *testing.T, h http.Handler, steps []step) {
	t.Helper()
	for _, s := range steps {
		time.Sleep(s.wait) // Virtual time.
		status, body := call(t, h, s.method, s.path, s.body)
		assert.Equal(t, status, s.status, "%s: %s", s.name, body)
		assert.Assert(t, strings.Contains(body, s.contains), "%s: %s", s.name, body)
	}
}

type jsonObject map[string]any

// TestStoreProtocol guards against a stand-in that is more lenient than the store's protocol about versions, leases and
// sizes, or whose faults and rate limits have no effect.
func TestStoreProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Store{}
		runSteps(t, s, []step{
			{"missing key", 0, "GET", "/v1/keys/a/b", nil, 404, ""},
			{"create", 0, "PUT", "/v1/keys/a/b", jsonObject{"Data": "e30="}, 200, `"Version":1`},
			{"create again", 0, "PUT", "/v1/keys/a/b", jsonObject{"Data": "e30="}, 409, ""},
			{"read", 0, "GET", "/v1/keys/a/b", nil, 200, `{"Data":"e30=","Version":1}`},
			{"known", 0, "GET", "/v1/keys/a/b?known=1&wait=3s", nil, 304, ""},
			{"too large", 0, "PUT", "/v1/keys/a/b", jsonObject{"Data": make([]byte, MaxValueBytes+1), "Expect": 1}, 413, ""},
			{"delete other version", 0, "DELETE", "/v1/keys/a/b?expect=7", nil, 409, ""},
			{"delete", 0, "DELETE", "/v1/keys/a/b?expect=1", nil, 200, ""},
			{"lease", 0, "POST", "/v1/leases", jsonObject{"TTL": "3s"}, 200, `"L1"`},
			{"version grows after deletion", 0, "PUT", "/v1/keys/a/b", jsonObject{"Data": "e30=", "Lease": "L1"}, 200, `"Version":3`},
			{"renew", 2 * time.Second, "POST", "/v1/leases/L1/renew", nil, 200, ""},
			{"still there", 2 * time.Second, "GET", "/v1/list?prefix=a/", nil, 200, `"a/b"`},
			{"watch sees the lease lapse", 0, "GET", "/v1/keys/a/b?known=3&wait=30s", nil, 404, ""},
			{"renew a lapsed lease", 0, "POST", "/v1/leases/L1/renew", nil, 404, ""},
			{"put with a lapsed lease", 0, "PUT", "/v1/keys/a/c", jsonObject{"Lease": "L1"}, 410, ""},
			{"lose answers", 0, "PUT", "/admin/switches", jsonObject{"LoseAnswers": 1}, 200, ""},
			{"lost", 0, "PUT", "/v1/keys/z", jsonObject{"Data": "e30="}, 0, ""},
			{"lost write took effect", 0, "GET", "/v1/keys/z", nil, 200, ""},
			{"limit the rate of writes", 0, "PUT", "/admin/switches", jsonObject{"LoseAnswers": 0, "WritesPerSecond": 1}, 200, ""},
			{"within the rate", 2 * time.Second, "POST", "/v1/leases", jsonObject{"TTL": "3s"}, 200, ""},
			{"over the rate", 0, "POST", "/v1/leases", jsonObject{"TTL": "3s"}, 429, ""},
			{"down", 0, "PUT", "/admin/switches", jsonObject{"Down": true}, 200, ""},
			{"write while down", 0, "PUT", "/v1/keys/y", jsonObject{"Data": "e30="}, 503, ""},
			{"up", 0, "PUT", "/admin/switches", jsonObject{"Down": false}, 200, ""},
			{"write while down had no effect", 0, "GET", "/v1/keys/y", nil, 404, ""},
		})
		st := s.Stats()
		assert.Equal(t, st.Calls["Watch"], int64(2))
		assert.Equal(t, st.LostAnswers, int64(1))
		assert.Equal(t, st.Refused["GrantLease"], int64(1))
	})
}

// newTaskStart returns a start of a task of a gang on two workers. If change is not nil, it is applied to the start.
func newTaskStart(index, accelerator int, change func(*TaskStart)) TaskStart {
	s := TaskStart{
		Key: descriptor.JobKey{Workspace: "w", Job: "j"}, Attempt: 1, Index: index, Members: 2,
		Resources:          descriptor.Resources{Cores: 4, Memory: 1000, Accelerators: 1},
		AcceleratorIndexes: []int{accelerator}, Lease: descriptor.Duration(5 * time.Second),
		NotAfter: time.Now().Add(time.Hour), RunTime: descriptor.Duration(4 * time.Second),
	}
	if change != nil {
		change(&s)
	}
	return s
}

// newTestWorker returns a worker with 4 accelerators that enforces declared sizes.
func newTestWorker(id descriptor.WorkerID, domain descriptor.FailureDomainID) *Worker {
	return &Worker{Description: descriptor.Worker{ID: id, FailureDomain: domain, Cores: 16, Memory: 8000, Accelerators: 4, Guard: true}}
}

// TestWorkerProtocol guards against a worker that starts a task late or twice, assigns an accelerator twice, lets a
// task run without a lease or over its declared memory, or ignores throttling or FailEverything.
func TestWorkerProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWorker("a", "Brno")
		longRun := func(s *TaskStart) { s.RunTime = descriptor.Duration(time.Hour) }
		lateStart := func(s *TaskStart) { s.NotAfter = time.Now().Add(-time.Nanosecond) }
		tooManyCores := func(s *TaskStart) { s.Resources.Cores = 13 }
		overMemory := func(s *TaskStart) { s.Payload = []byte(`{"Memory":2000}`) }
		firstStart := newTaskStart(0, 0, nil)
		runSteps(t, w, []step{
			{"late", 0, "PUT", "/tasks/1", newTaskStart(0, 0, lateStart), 410, ""},
			{"start", 0, "PUT", "/tasks/1", firstStart, 201, ""},
			{"repeated", 0, "PUT", "/tasks/1", firstStart, 200, ""},
			{"other task, same id", 0, "PUT", "/tasks/1", newTaskStart(1, 1, nil), 409, ""},
			{"accelerator in use", 0, "PUT", "/tasks/2", newTaskStart(1, 0, nil), 507, "accelerator 0"},
			{"no such accelerator", 0, "PUT", "/tasks/2", newTaskStart(1, 4, nil), 507, ""},
			{"not enough cores", 0, "PUT", "/tasks/2", newTaskStart(1, 1, tooManyCores), 507, ""},
			{"second", 0, "PUT", "/tasks/2", newTaskStart(1, 1, longRun), 201, ""},
			{"renew", 3 * time.Second, "POST", "/tasks/2/lease", jsonObject{"Lease": "5s"}, 200, ""},
			{"first is done", 2 * time.Second, "GET", "/tasks", nil, 200, `"State":"Done"`},
			{"checkpoint", 0, "POST", "/tasks/2/checkpoint", nil, 200, "Running"},
			{"lease lapses", 3 * time.Second, "GET", "/tasks", nil, 200, "the lease lapsed"},
			{"accelerator is free again", 0, "PUT", "/tasks/3", newTaskStart(0, 1, longRun), 201, ""},
			{"stop", time.Second, "DELETE", "/tasks/3", nil, 200, "Stopped"},
			{"stopped task does not start again", 0, "PUT", "/tasks/3", newTaskStart(0, 1, longRun), 200, ""},
			{"over its size", 0, "PUT", "/tasks/4", newTaskStart(3, 3, overMemory), 201, ""},
			{"stopped by the guard", 0, "GET", "/tasks", nil, 200, "memory over"},
			{"fail everything", 0, "PUT", "/admin/switches", jsonObject{"FailEverything": true, "Lag": "2s"}, 200, ""},
			{"fails", 0, "PUT", "/tasks/5", newTaskStart(4, 0, nil), 201, ""},
			{"failed", time.Second, "GET", "/tasks", nil, 200, `"State":"Failed"`},
			// The following steps switch failures off and run a task at half speed.
			{"halved", 0, "PUT", "/admin/switches", jsonObject{"FailEverything": false}, 200, ""},
			{"start a task to throttle", 0, "PUT", "/tasks/6", newTaskStart(5, 0, nil), 201, ""},
			{"usage lags", 1500 * time.Millisecond, "GET", "/usage", nil, 200, `"Cores":0`},
			{"throttle", 500 * time.Millisecond, "POST", "/tasks/6/throttle", jsonObject{"Share": 0.5}, 200, ""},
			{"renew at half speed", 2 * time.Second, "POST", "/tasks/6/lease", jsonObject{"Lease": "5s"}, 200, "Running"},
			{"still running", 1900 * time.Millisecond, "POST", "/tasks/6/lease", jsonObject{"Lease": "5s"}, 200, "Running"},
			{"half speed takes twice as long", 200 * time.Millisecond, "POST", "/tasks/6/lease", jsonObject{"Lease": "5s"}, 200, "Done"},
		})
		assert.Equal(t, w.Stats().Lapsed, int64(1))
		assert.Equal(t, w.Stats().Starts, int64(6))
	})
}

// TestLedgerFindsViolations guards against a ledger that overlooks a partial gang, a double run or a start in a failure
// domain after a given time, or that reports the start at that time as well.
func TestLedgerFindsViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTestWorker("a", "Brno"), newTestWorker("b", "Olomouc")
		var l Ledger
		l.Add(a)
		l.Add(b)
		startedAt := time.Now()
		startTask := func(w *Worker, id string, index int, attempt descriptor.Attempt) {
			s := newTaskStart(index, index, func(s *TaskStart) { s.Attempt = attempt })
			status, body := call(t, w, "PUT", "/tasks/"+id, s)
			assert.Equal(t, status, 201, body)
		}
		startTask(a, "1", 0, 1)
		assert.Equal(t, len(PartialGangs(l.Runs())), 1)
		startTask(b, "1", 1, 1)
		assert.Equal(t, len(PartialGangs(l.Runs())), 0)
		time.Sleep(time.Second)
		startTask(b, "2", 0, 2)
		partial := PartialGangs(l.Runs())
		assert.Equal(t, len(partial), 1)
		assert.Equal(t, int(partial[0].Attempt), 2)
		time.Sleep(9 * time.Second)
		assert.Assert(t, PartialGangs(l.Runs())[0].Ran)
		doubleRuns := DoubleRuns(l.Runs(), nil)
		assert.Equal(t, len(doubleRuns), 1)
		assert.Assert(t, doubleRuns[0].Concurrent)
		startTask(a, "3", 1, 3)
		startTask(b, "3", 2, 3)
		assert.Equal(t, len(DoubleRuns(l.Runs(), nil)), 1)
		assert.Equal(t, len(DoubleRuns(l.Runs(), func(descriptor.JobKey) bool { return true })), 2)
		assert.Equal(t, len(StartsInFailureDomain(l.Runs(), "Brno", startedAt)), 1)
	})
}

// TestEndpointProtocol guards against an endpoint that hides a double run, exceeds its slots or gives the answer to
// another request, or whose switches CutAnswers and Silent have no effect.
func TestEndpointProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Endpoint{ID: "e", Service: "fit", Slots: 1}
		body := []byte(`{"ServiceTime":"2s","AnswerBytes":100000}`)
		serve := func(id string) (int, string) {
			return call(t, e, "POST", "/serve", body, "Workspace", "w", "Class", "c", "Request-Id", id)
		}
		go serve("1")
		synctest.Wait()
		status, _ := serve("2")
		assert.Equal(t, status, 503)
		assert.Equal(t, e.RunCount("w", "2"), 0)
		time.Sleep(3 * time.Second)
		status, got := serve("1")
		assert.Equal(t, status, 200)
		assert.Equal(t, got, string(ExpectedAnswer("w", "1", body)))
		assert.Assert(t, got != string(ExpectedAnswer("w", "2", body)))
		assert.Assert(t, len(got) > 100_000)
		assert.Equal(t, e.RunCount("w", "1"), 2)
		e.UpdateSwitches(func(s *EndpointSwitches) { s.CutAnswers = 1 })
		status, got = serve("3")
		assert.Equal(t, status, 0)
		assert.Assert(t, len(got) > 0 && strings.HasPrefix(string(ExpectedAnswer("w", "3", body)), got))
		e.UpdateSwitches(func(s *EndpointSwitches) { *s = EndpointSwitches{Silent: true} })
		answered := make(chan struct{})
		go func() { defer close(answered); serve("4") }()
		time.Sleep(time.Minute)
		assert.Equal(t, e.RunCount("w", "4"), 1)
		assert.Equal(t, e.Stats().Busy, 1)
		e.UpdateSwitches(func(s *EndpointSwitches) { s.Silent = false })
		<-answered
		st := e.Stats()
		assert.Equal(t, st.Busy, 0)
		assert.Equal(t, st.Finished, int64(3))
		assert.Equal(t, st.Cut, int64(1))
	})
}

// TestEndpointAnnouncesItself guards against announcements that stop or do not say that the endpoint leaves.
func TestEndpointAnnouncesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []Announcement
		agent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var a Announcement
			assert.Check(t, decodeJSON(r.Body, &a))
			got = append(got, a)
		})
		e := &Endpoint{ID: "e", Service: "fit", URL: "http://127.0.0.1:1"}
		ctx, cancel := context.WithCancel(t.Context())
		go e.Announce(ctx, "http://agent", &http.Client{Transport: Transport{Handler: agent}})
		time.Sleep(2500 * time.Millisecond)
		e.Leave()
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, len(got), 4)
		assert.Equal(t, got[0], Announcement{ID: "e", Service: "fit", URL: e.URL, Slots: 8, Connections: 64})
		assert.Assert(t, got[3].Leaving)
	})
}

// TestCommandReportsSettings guards against wrong settings that are reported one by one, do not stop the process or
// have the exit code of other errors.
func TestCommandReportsSettings(t *testing.T) {
	tests := []struct {
		args       []string
		wantCode   int
		wantErrors []string
	}{
		{nil, 2, []string{"want store, worker or endpoint"}},
		{[]string{"worker"}, 2, []string{"id is not set", "rack is not set", "region is not set"}},
		{[]string{"endpoint", "-slots", "0"}, 2, []string{"id is not set", "slots"}},
		{[]string{"store", "-no-such-flag"}, 2, []string{"no-such-flag"}},
		{[]string{"store", "extra"}, 2, []string{"extra"}},
		{[]string{"store", "-listen", "192.0.2.1:-1"}, 1, []string{"listen"}},
	}
	for _, tt := range tests {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, RunCommand(t.Context(), tt.args, &stdout, &stderr), tt.wantCode, "%q: %s", tt.args, &stderr)
		for _, want := range tt.wantErrors {
			assert.Assert(t, strings.Contains(stderr.String(), want), "%q: %s", tt.args, &stderr)
		}
	}
}

// FuzzDecodeStart guards against a start that is accepted without a lease or with a number of accelerators that differs
// from the number of their indexes, and against a createTask whose result contradicts its error.
func FuzzDecodeStart(f *testing.F) {
	f.Add([]byte(`{"Lease":"5s","NotAfter":"2026-01-01T00:00:00Z","Members":1,"Resources":{"Accelerators":1},"AcceleratorIndexes":[0]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.NewRequest(http.MethodPut, "http://fake/tasks/1", bytes.NewReader(data))
		assert.NilError(t, err)
		s, err := decodeStart(r)
		if err != nil {
			return
		}
		w := newTestWorker("a", "Brno")
		s.NotAfter = time.Now().Add(time.Hour)
		created, err := w.createTask("1", s)
		assert.Equal(t, created, err == nil)
		assert.Assert(t, s.Lease > 0 && len(s.AcceleratorIndexes) == int(s.Resources.Accelerators))
	})
}

// FuzzRequestBody guards against an answer whose padding differs in length from the AnswerBytes of the request body, up
// to 1 MiB, or that has padding if AnswerBytes is below 0.
func FuzzRequestBody(f *testing.F) {
	f.Add([]byte(`{"ServiceTime":"1ms","AnswerBytes":10}`))
	f.Add([]byte(`{"AnswerBytes":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if parseBody(data).AnswerBytes > 1<<20 {
			return
		}
		var a EndpointAnswer
		assert.NilError(t, json.Unmarshal(ExpectedAnswer("w", "1", data), &a))
		assert.Equal(t, len(a.Padding), max(0, parseBody(data).AnswerBytes))
	})
}
