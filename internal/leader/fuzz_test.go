package leader

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

// FuzzDocuments guards against stored documents on which the leader panics or does not end its round: as it loads them,
// as they change, and as it plans.
func FuzzDocuments(f *testing.F) {
	step := descriptor.Step{Count: 2, Gang: true, Size: descriptor.Capacity{Accelerators: 1}}
	placed := planner.Task{State: planner.TaskPlaced, Attempt: 1, Node: "n", Worker: "w", Born: 1}
	f.Add(archiver.Encode(recordOf("j", step, descriptor.Step{Count: 1, After: []int{0}})), archiver.Encode(progressWith(placed, placed)),
		archiver.Encode(archiver.Member{Node: "n", Address: "127.0.0.1:1"}))
	f.Add(archiver.Encode(planner.Withdrawal("j")), archiver.Encode(progressWith(placed)), []byte{})
	f.Add(archiver.Encode(recordOf("j", descriptor.Step{Count: -1})), []byte{}, []byte{0xff})
	f.Add(archiver.Encode(recordOf("j", descriptor.Step{Count: 1 << 62}, descriptor.Step{Count: 1 << 62})), []byte{0xa0}, []byte{0xa0})
	f.Fuzz(func(t *testing.T, record, progress, member []byte) {
		store := newMemoryStore()
		leaderTerm := newLeaderTerm(t, store)
		storeDocuments(t, store, map[string]any{
			archiver.JobKey("j"): record, archiver.ProgressKey("j"): progress, archiver.AgentKey("n"): member,
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		leaderTerm.linkCtx = ctx
		if err := leaderTerm.load(ctx); err != nil {
			t.Fatal(err)
		}
		leaderTerm.core.Observe(observationOf(1, nil, nil))
		if err := leaderTerm.runRound(ctx); err != nil {
			t.Fatal(err)
		}
		leaderTerm.handleDocumentChange(archiver.Event{Item: store.items[archiver.JobKey("j")]})
		leaderTerm.core.Plan(time.Now())
	})
}

// observationOf returns a report of an idle worker with room.
func observationOf(clock descriptor.WorkerClock, running []descriptor.AttemptStatus, ended []descriptor.AttemptEnd) planner.Observation {
	return planner.Observation{
		Node: "n", Clock: clock, Running: running, Ended: ended, AllEnds: true, Received: time.Now(),
		Status: descriptor.WorkerStatus{
			Incarnation: descriptor.Incarnation{Worker: "w", Born: 1}, Service: "s", Rack: "r",
			Capacity: descriptor.Capacity{Cores: 64000, Memory: 1 << 17, Accelerators: 8},
		},
	}
}

// FuzzReport guards against a report of an agent on which the leader panics: lists of tasks that do not exist, numbers
// out of range, results of orders that were never sent.
func FuzzReport(f *testing.F) {
	id := descriptor.AttemptID{Task: descriptor.TaskID{Job: "j"}, Attempt: 1}
	odd := descriptor.AttemptID{Task: descriptor.TaskID{Job: "j", Occurrence: -1, Step: 7, Index: -3}, Attempt: -9}
	for _, r := range []agent.Report{
		{Node: "n", Fence: 1, HasStatus: true, ListsCurrent: true, AllEnds: true, Clock: 5, Status: observationOf(1, nil, nil).Status},
		{
			Node: "n", Fence: 1, HasStatus: true, ListsCurrent: true, AllEnds: true, Clock: 9, Status: observationOf(1, nil, nil).Status,
			Running: []descriptor.AttemptStatus{{AttemptID: id, Percent: 50}, {AttemptID: odd, Percent: -7}},
			Ended:   []descriptor.AttemptEnd{{Seq: 1, AttemptID: id, Outcome: descriptor.OutcomeDone}, {Seq: -1, AttemptID: odd, Outcome: "?"}},
			Results: []agent.Result{{AttemptID: odd, Started: true}, {AttemptID: id, Refused: "?"}},
		},
		{Node: "n", Fence: 1, WorkerGone: true},
	} {
		data, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var report agent.Report
		if cbor.Unmarshal(data, &report) != nil {
			return
		}
		leaderTerm := newLeaderTerm(t, newMemoryStore())
		l := &link{term: leaderTerm, node: "n", address: "127.0.0.1:1"}
		leaderTerm.links["n"] = l
		leaderTerm.core.Submit(recordOf("j", descriptor.Step{Count: 2}), time.Now())
		leaderTerm.core.Observe(observationOf(1, nil, nil))
		orders := leaderTerm.core.Plan(time.Now())
		sent := agent.SyncRequest{Fence: leaderTerm.fence, Incarnation: observationOf(1, nil, nil).Status.Incarnation}
		for _, o := range orders {
			sent.Starts = append(sent.Starts, agent.Start{AttemptID: o.Attempt})
		}
		report.Node, report.Fence = l.node, leaderTerm.fence
		leaderTerm.handleResults(l, sent, report, time.Now())
		leaderTerm.core.Plan(time.Now())
		l.holdExpired(time.Now())
	})
}
