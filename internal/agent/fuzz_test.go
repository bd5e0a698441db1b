package agent

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
)

// FuzzSync guards against a call of another process on which the agent panics, or that it does not answer.
func FuzzSync(f *testing.F) {
	for _, s := range []SyncRequest{
		{},
		{Fence: 7, Incarnation: incarnation, HoldUntil: -1, AckedSeq: 1 << 62, Starts: []Start{{AttemptID: attemptID(0, 1)}}, Stops: []descriptor.AttemptID{attemptID(-1, -1)}},
	} {
		data, err := s.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(bytes.Repeat([]byte{0x81}, 5000))
	f.Fuzz(func(t *testing.T, data []byte) {
		worker := &fakeWorker{clockOrigin: time.Now()}
		a := &Agent{
			Node: "n", HoldAttempts: worker.hold, StartAttempt: worker.start, Log: log.New(io.Discard), Metrics: &recorder.Metrics{},
			StopAttempt: func(context.Context, descriptor.Incarnation, descriptor.Fence, descriptor.AttemptID) (descriptor.WorkerClock, error) {
				return worker.clock(), nil
			},
		}
		a.HandleHeartbeat(descriptor.WorkerStatus{Incarnation: incarnation, Service: "s"})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		r := httptest.NewRequest("POST", SyncPath, bytes.NewReader(data)).WithContext(ctx)
		a.Handler().ServeHTTP(httptest.NewRecorder(), r)
	})
}
