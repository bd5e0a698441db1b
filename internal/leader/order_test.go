package leader

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
)

// restartingWorker is a worker without attempts that an agent polls.
type restartingWorker struct {
	mu          sync.Mutex
	incarnation descriptor.Incarnation
	born        time.Time
	gone        bool
}

// hold answers a poll of the agent.
func (w *restartingWorker) hold(context.Context, agent.HoldRequest) (agent.AttemptLists, error) {
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return agent.AttemptLists{}, agent.ErrNoProcess
	}
	return agent.AttemptLists{
		Incarnation: w.incarnation, Clock: descriptor.WorkerClock(time.Since(w.born).Milliseconds()), AllEnds: true,
	}, nil
}

// runAgent returns an agent of the worker, whose heartbeat has arrived, and a function that ends the agent.
func (w *restartingWorker) runAgent(t *testing.T) (*agent.Agent, func()) {
	t.Helper()
	start := time.Now()
	a := &agent.Agent{
		Node: "n", Log: log.New(io.Discard), Metrics: &recorder.Metrics{}, HoldAttempts: w.hold,
		BootTime: func() time.Duration { return time.Since(start) },
	}
	ctx, end := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	a.HandleHeartbeat(w.status())
	return a, func() {
		end()
		wg.Wait()
	}
}

func (w *restartingWorker) status() descriptor.WorkerStatus {
	s := observationOf(1, nil, nil).Status
	s.Incarnation = w.incarnation
	return s
}

// leave ends the worker's process, and restart begins a new incarnation.
func (w *restartingWorker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
}

func (w *restartingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation.Born++
	w.born, w.gone = time.Now(), false
}

// TestOvertakenReportIsSetAside guards against a report that is held up on one connection while newer ones come over
// another: the leader forgets the attempt that it has started since, and starts the task again beside it.
func TestOvertakenReportIsSetAside(t *testing.T) {
	for name, prepare := range map[string]func(w *restartingWorker){
		"worker gone":        (*restartingWorker).leave,
		"former incarnation": func(*restartingWorker) {},
	} {
		for _, agentRestarts := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				leaderTerm := newTerm(newLeader(newMemoryStore(), "me"), 1)
				leaderTerm.linkCtx = t.Context()
				l := &link{term: leaderTerm, node: "n", waitingSince: leaderTerm.startedAt}
				leaderTerm.links["n"] = l
				w := &restartingWorker{incarnation: descriptor.Incarnation{Worker: "w", Born: 1}, born: time.Now()}
				a, end := w.runAgent(t)
				poll := func() agent.Report {
					time.Sleep(time.Second)
					return a.Sync(t.Context(), l.nextPoll(0))
				}
				leaderTerm.handleReport(l, poll(), time.Now())
				leaderTerm.handleReport(l, poll(), time.Now())
				prepare(w)
				late := poll()
				w.restart()
				if agentRestarts {
					end()
					a, end = w.runAgent(t)
					leaderTerm.handleReport(l, poll(), time.Now())
				}
				defer func() { end() }()
				a.HandleHeartbeat(w.status())
				leaderTerm.handleReport(l, poll(), time.Now())
				leaderTerm.core.Submit(recordOf("k", descriptor.Step{Count: 1}), time.Now())
				orders := leaderTerm.core.Plan(time.Now())
				assert.Equal(t, len(orders), 1, name)
				leaderTerm.core.HandleStarted("n", w.incarnation, orders[0].Attempt, 2500, time.Now())

				leaderTerm.handleReport(l, late, time.Now())
				assert.DeepEqual(t, leaderTerm.core.NodesWithAttempts(), []string{"n"})
				assert.Equal(t, len(leaderTerm.core.Plan(time.Now())), 0, name)
				newest, _ := leaderTerm.core.RecordedSeq("n")
				assert.Equal(t, newest, w.incarnation, name)
			})
		}
	}
}

// agentState is what an agent's report shows, in the order in which the states followed on each other.
type agentState struct {
	life     agent.Life
	seq      uint64
	born     int64
	clock    descriptor.WorkerClock
	gone     bool
	draining bool
}

// drawHistory draws the states of one agent and its worker.
func drawHistory(rt *rapid.T) []agentState {
	states := []agentState{{life: 1, seq: 1, born: 1, clock: 100}}
	for range 4 {
		s := states[len(states)-1]
		s.seq++
		s.clock += 100
		for _, event := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 2, rapid.ID).Draw(rt, "events") {
			switch event {
			case 0:
				s.born, s.clock, s.gone, s.draining = s.born+1, 100, false, false
			case 1:
				s.gone = true
			case 2:
				s.draining = !s.draining
			case 3:
				s.life, s.seq = s.life+1, 1
			}
		}
		states = append(states, s)
	}
	return states
}

// TestReportsInAnyOrder guards against a leader whose view depends on the order in which the facts of one agent arrive. A
// task runs in the base state of the worker, and three facts from before and after it arrive in any order, some of them
// twice, as reports or with the answers to orders. The newest one must decide, the task must not be started again while
// it runs by that one, and a last poll must bring the view of the agent's present state.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt)
		base := rapid.IntRange(0, len(history)-1).Draw(rt, "base")
		runs := func(i int) bool {
			return i >= base && history[i].born == history[base].born &&
				!slices.ContainsFunc(history[base:i+1], func(s agentState) bool { return s.gone })
		}
		leaderTerm := newTerm(newLeader(newMemoryStore(), "me"), 1)
		l := &link{term: leaderTerm, node: "n", waitingSince: leaderTerm.startedAt}
		leaderTerm.links["n"] = l
		attemptID := descriptor.AttemptID{Task: descriptor.TaskID{Job: "k"}, Attempt: 1}
		leaderTerm.core.Load(recordOf("k", descriptor.Step{Count: 1}), progressWith(planner.Task{
			State: planner.TaskPlaced, Attempt: 1, Node: "n", Worker: "w", Born: history[base].born,
		}), time.Now())
		started := false
		newest := base
		deliver := func(i int, knownLife agent.Life, answersOrders bool) {
			s := history[i]
			o := observationOf(s.clock, nil, nil)
			o.Status.Incarnation.Born, o.Status.Draining = s.born, s.draining
			report := agent.Report{
				Node: "n", Life: s.life, Seq: s.seq, KnownLife: knownLife, Fence: 1, HasStatus: true, Status: o.Status, WorkerGone: s.gone,
				ListsCurrent: true, AllEnds: true, Clock: s.clock,
			}
			if runs(i) {
				report.Running = []descriptor.AttemptStatus{{AttemptID: attemptID}}
			}
			if answersOrders && runs(i) {
				report.Results = []agent.Result{{AttemptID: attemptID, Started: true, Clock: s.clock}}
			}
			if s.life == history[newest].life && i > newest || s.life != history[newest].life && knownLife == history[newest].life {
				newest = i
			}
			leaderTerm.handleResults(l, agent.SyncRequest{Incarnation: o.Status.Incarnation}, report, time.Now())
			if !history[newest].gone {
				incarnation, _ := leaderTerm.core.RecordedSeq("n")
				assert.Equal(rt, incarnation.Born, history[newest].born)
				assert.Equal(rt, l.draining, history[newest].draining)
			}
			// A second worker has room.
			other := observationOf(100, nil, nil)
			other.Node, other.Status.Incarnation.Worker = "m", "other"
			leaderTerm.core.Observe(other)
			for _, order := range leaderTerm.core.Plan(time.Now()) {
				started = started || !order.Stop
			}
			assert.Equal(rt, started, !runs(newest), "start again by state %d of %+v", newest, history)
		}
		deliver(base, 0, false)
		if !runs(base) {
			return
		}
		facts := rapid.SliceOfNDistinct(rapid.IntRange(0, len(history)-1), 3, 3, rapid.ID).Draw(rt, "facts")
		for _, i := range append(facts, rapid.SliceOfN(rapid.SampledFrom(facts), 0, 3).Draw(rt, "repeats")...) {
			// The call was sent when the leader knew a state that came before the fact.
			known := rapid.IntRange(0, i).Draw(rt, "known")
			deliver(i, history[known].life, rapid.Bool().Draw(rt, "answer"))
		}
		deliver(len(history)-1, history[newest].life, false)
		assert.Equal(rt, newest, len(history)-1)
	})
}

// TestOrderOutlivesAddress guards against an old report that counts again when the agent's address has changed, against
// one that arrives on the former link, and against the answer of another agent that is at the address now.
func TestOrderOutlivesAddress(t *testing.T) {
	leaderTerm := newTerm(newLeader(newMemoryStore(), "me"), 1)
	leaderTerm.linkCtx = t.Context()
	leaderTerm.leader.CallAgent = func(ctx context.Context, _ string, _ agent.SyncRequest) (agent.Report, error) {
		<-ctx.Done()
		return agent.Report{}, ctx.Err()
	}
	open := func(address string) *link {
		value := archiver.Encode(archiver.Member{Node: "n", Address: address})
		leaderTerm.addAgent(t.Context(), archiver.Item{Key: archiver.AgentKey("n"), Value: value})
		return leaderTerm.links["n"]
	}
	former := open("127.0.0.1:1")
	assert.Equal(t, leaderTerm.judge(former, &agent.Report{Node: "n", Fence: 1, Life: 5, Seq: 3}), verdictNewer)
	present := open("127.0.0.1:2")
	assert.Assert(t, present != former)
	assert.Equal(t, present.nextPoll(0).KnownLife, agent.Life(5))
	for _, test := range []struct {
		link   *link
		report agent.Report
		result verdict
	}{
		{former, agent.Report{Node: "n", Fence: 1, Life: 5, Seq: 4, KnownLife: 5}, verdictForeign},
		{present, agent.Report{Node: "other", Fence: 1, Life: 7, Seq: 4, KnownLife: 5}, verdictForeign},
		{present, agent.Report{Node: "n", Fence: 2, Life: 5, Seq: 4, KnownLife: 5}, verdictOtherFence},
		{present, agent.Report{Node: "n", Fence: 1, Life: 5, Seq: 2, KnownLife: 5}, verdictOlder},
		{present, agent.Report{Node: "n", Fence: 1, Life: 4, Seq: 9}, verdictOtherLife},
		{present, agent.Report{Node: "n", Fence: 1, Life: 6, Seq: 1, KnownLife: 5}, verdictNewer},
	} {
		assert.Equal(t, leaderTerm.judge(test.link, &test.report), test.result, "%+v", test.report)
	}
}
