package enforcer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const testDomain = "montreal"

var testWorker = descriptor.Worker{ID: "w", Cores: 16, Memory: 1000, Accelerators: 4}

// fakeWorker simulates a worker with a clock and records what it ran.
type fakeWorker struct {
	t           *rapid.T
	now         time.Time
	tasks       map[string]*WorkerTask
	leaseExpiry map[string]time.Time
	// runs counts the effective starts by task ID, over all incarnations of the agent.
	runs map[string]int
	// lateStarts contains starts whose answer was lost and which the worker processes later.
	lateStarts []TaskStart
	// pendingCalls contains the functions passed to Spawn that have not run yet.
	pendingCalls []func()
	// permitExpiry is computed from the permits sent to the agent, independently of the enforcer.
	permitExpiry time.Time
	revision     descriptor.Revision
	domainOut    bool
	// faultsEnabled enables pauses, lost answers of start calls and failed stop calls.
	faultsEnabled bool
}

func (w *fakeWorker) start(_ context.Context, s TaskStart) error {
	if !w.now.Before(w.permitExpiry) || w.domainOut {
		w.t.Fatalf("start of %s without a valid permit", s.ID)
	}
	expiry := w.permitExpiry
	if w.faultsEnabled && rapid.IntRange(0, 3).Draw(w.t, "pause") == 0 {
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "paused")) * time.Millisecond)
	}
	if w.faultsEnabled && rapid.IntRange(0, 7).Draw(w.t, "lose") == 0 {
		w.lateStarts = append(w.lateStarts, s)
		return errors.New("answer lost")
	}
	return w.applyStart(s, expiry)
}

// applyStart processes a start at the worker and checks that it is not later than expiry, unless that is zero. It does
// not refuse accelerators that are in use, so that only the enforcer prevents double use.
func (w *fakeWorker) applyStart(s TaskStart, expiry time.Time) error {
	if w.now.After(s.NotAfter) {
		return fmt.Errorf("%w: permit expired", ErrNotRun)
	}
	if !expiry.IsZero() && w.now.After(expiry) {
		w.t.Fatalf("%s was started %v after the expiry of its permit", s.ID, w.now.Sub(expiry))
	}
	w.runs[s.ID]++
	w.tasks[s.ID] = &WorkerTask{
		ID: s.ID, Key: s.Key, Attempt: s.Attempt, Index: s.Index, Members: s.Members, Resources: s.Resources,
		AcceleratorIndexes: s.AcceleratorIndexes, State: messenger.TaskRunning, StartedAt: w.now,
	}
	w.leaseExpiry[s.ID] = w.now.Add(s.Lease.TimeDuration())
	return nil
}

func (w *fakeWorker) stop(_ context.Context, id string) error {
	if w.faultsEnabled && rapid.IntRange(0, 3).Draw(w.t, "stopFails") == 0 {
		return errors.New("no answer")
	}
	if t := w.tasks[id]; t != nil && t.State == messenger.TaskRunning {
		t.State = messenger.TaskStopped
	}
	return nil
}

func (w *fakeWorker) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for id, t := range w.tasks {
		if t.State == messenger.TaskRunning && w.now.After(w.leaseExpiry[id]) {
			t.State = messenger.TaskStopped
		}
	}
}

// taskList returns the tasks ordered by ID.
func (w *fakeWorker) taskList() []WorkerTask {
	var tasks []WorkerTask
	for _, t := range w.tasks {
		tasks = append(tasks, *t)
	}
	slices.SortFunc(tasks, func(a, b WorkerTask) int { return strings.Compare(a.ID, b.ID) })
	return tasks
}

// message is a message of a scheduler that is delivered, duplicated or lost at random. hold is the content of a Hold.
type message struct {
	kind messenger.Kind
	ref  messenger.GangAttempt
	hold messenger.HoldRequest
}

// gangModel drives one agent with the messages of two schedulers.
type gangModel struct {
	*fakeWorker
	enforcer  *Enforcer
	inTransit []message
	// epoch is the highest epoch delivered to this incarnation of the agent.
	epoch descriptor.Epoch
	// confirmed contains the attempts that were confirmed by Confirm or, when they were adopted, by their age.
	confirmed map[string]bool
	// highest is the highest accepted attempt of each job, including the tasks that the worker lists after a restart.
	highest   map[descriptor.JobKey]descriptor.Attempt
	adoptedAt time.Time
	// acknowledged contains the ended attempts acknowledged to this incarnation of the agent.
	acknowledged map[string]bool
}

func newGangModel(t *rapid.T) *gangModel {
	w := &fakeWorker{
		t: t, now: time.Unix(1000, 0), faultsEnabled: true,
		tasks: map[string]*WorkerTask{}, leaseExpiry: map[string]time.Time{}, runs: map[string]int{},
	}
	m := &gangModel{fakeWorker: w, confirmed: map[string]bool{}}
	m.restartAgent()
	return m
}

// restartAgent starts a new incarnation of the agent; pending calls of the previous one are lost.
func (m *gangModel) restartAgent() {
	m.pendingCalls = nil
	m.epoch = 0
	m.acknowledged = map[string]bool{}
	m.highest = map[descriptor.JobKey]descriptor.Attempt{}
	m.permitExpiry, m.revision, m.domainOut = time.Time{}, 0, false
	m.advance(AdoptionDelay) // the supervisor renews leases in the meantime
	for id, t := range m.tasks {
		if t.State == messenger.TaskRunning {
			m.leaseExpiry[id] = m.now.Add(LeaseDuration)
		}
	}
	m.adoptedAt = m.now
	m.enforcer = &Enforcer{
		FailureDomain: testDomain,
		Now:           func() time.Time { return m.now },
		Spawn:         func(f func()) { m.pendingCalls = append(m.pendingCalls, f) },
		Worker: WorkerCalls{
			Start:      m.start,
			Stop:       m.stop,
			Checkpoint: func(context.Context, string) error { return nil },
		},
	}
	for _, t := range m.tasks {
		m.highest[t.Key] = max(m.highest[t.Key], t.Attempt)
		if t.State == messenger.TaskRunning && m.now.Sub(t.StartedAt) > minConfirmedAge {
			m.confirmed[attemptName(t.Key, t.Attempt)] = true
		}
	}
	m.enforcer.Adopt(testWorker, m.taskList())
}

func attemptName(key descriptor.JobKey, n descriptor.Attempt) string { return fmt.Sprint(key, n) }

// send puts a random message in transit.
func (m *gangModel) send(t *rapid.T) {
	ref := messenger.GangAttempt{
		Key:     descriptor.JobKey{Workspace: "w", Job: descriptor.JobID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"))},
		Attempt: descriptor.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")),
		Epoch:   descriptor.Epoch(rapid.IntRange(1, 2).Draw(t, "epoch")),
	}
	kinds := []messenger.Kind{messenger.KindHold, messenger.KindCommit, messenger.KindStart, messenger.KindConfirm, messenger.KindStop}
	m.inTransit = append(m.inTransit, message{rapid.SampledFrom(kinds).Draw(t, "kind"), ref, drawHold(t, ref)})
}

func drawHold(t *rapid.T, ref messenger.GangAttempt) messenger.HoldRequest {
	return messenger.HoldRequest{
		Gang: ref, Tasks: []int{0, 1, 2}[:rapid.IntRange(1, 3).Draw(t, "tasks")], Members: 2, NonIdempotent: true,
		PerTask: descriptor.Resources{Cores: 1, Memory: 10, Accelerators: descriptor.Accelerators(rapid.IntRange(0, 2).Draw(t, "accelerators"))},
	}
}

// startGang delivers the messages that start a gang in order, because random messages rarely complete a start. Copies
// of them stay in transit.
func (m *gangModel) startGang(t *rapid.T) {
	key := descriptor.JobKey{Workspace: "w", Job: descriptor.JobID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"))}
	ref := messenger.GangAttempt{Key: key, Attempt: m.highest[key] + 1, Epoch: max(m.epoch, 1)}
	hold := drawHold(t, ref)
	for _, k := range []messenger.Kind{messenger.KindHold, messenger.KindCommit, messenger.KindStart} {
		m.deliver(message{k, ref, hold})
		m.inTransit = append(m.inTransit, message{k, ref, hold})
	}
	if rapid.IntRange(0, 3).Draw(t, "callLater") > 0 {
		for len(m.pendingCalls) > 0 {
			m.runPendingCall()
		}
	}
	if rapid.IntRange(0, 2).Draw(t, "confirm") == 0 {
		m.deliver(message{messenger.KindConfirm, ref, hold})
	}
	if len(m.inTransit) > 30 {
		m.inTransit = m.inTransit[len(m.inTransit)-30:]
	}
}

// acknowledgeEnded acknowledges all reported attempts, although some may not have ended, and makes Tick remove the
// ended ones.
func (m *gangModel) acknowledgeEnded(*rapid.T) {
	var refs []messenger.GangAttempt
	for _, r := range m.enforcer.Snapshot(0).Tasks {
		refs = append(refs, r.Gang)
		if r.State.Ended() {
			m.acknowledged[attemptName(r.Gang.Key, r.Gang.Attempt)] = true
		}
	}
	m.enforcer.Acknowledge(refs)
	m.enforcer.Tick(m.now)
}

// receive delivers, duplicates or drops a message in transit.
func (m *gangModel) receive(t *rapid.T) {
	if len(m.inTransit) == 0 {
		t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "which")
	msg := m.inTransit[i]
	delivery := rapid.SampledFrom([]string{"once", "again", "lost"}).Draw(t, "fate")
	if delivery != "again" {
		m.inTransit = slices.Delete(m.inTransit, i, i+1)
	}
	if delivery != "lost" {
		m.deliver(msg)
	}
}

// deliver passes a message to the enforcer and checks the answer against the epochs and attempts seen before.
func (m *gangModel) deliver(msg message) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	var a messenger.GangAnswer
	var err error
	req := messenger.GangRequest{Gang: msg.ref}
	switch msg.kind {
	case messenger.KindHold:
		a, err = m.enforcer.Hold(msg.hold)
	case messenger.KindCommit:
		a, err = m.enforcer.Commit(req)
	case messenger.KindStart:
		a, err = m.enforcer.Start(cancelled, req)
	case messenger.KindConfirm:
		a, err = m.enforcer.Confirm(req)
		if err == nil {
			m.confirmed[attemptName(msg.ref.Key, msg.ref.Attempt)] = true
		}
	case messenger.KindStop:
		a, err = m.enforcer.Stop(cancelled, messenger.StopRequest{Gang: msg.ref, CheckpointFirst: true, Grace: time.Second})
	}
	if a.OK != (err == nil) {
		m.t.Fatalf("answer %+v with error %v", a, err)
	}
	if stale := msg.ref.Epoch < m.epoch; stale != errors.Is(err, ErrStaleEpoch) {
		m.t.Fatalf("message of epoch %d after epoch %d: %v", msg.ref.Epoch, m.epoch, err)
	}
	m.epoch = max(m.epoch, msg.ref.Epoch)
	if a.OK && msg.ref.Attempt < m.highest[msg.ref.Key] {
		m.t.Fatalf("attempt %d was accepted after attempt %d", msg.ref.Attempt, m.highest[msg.ref.Key])
	}
	if a.OK && msg.kind != messenger.KindStop && m.acknowledged[attemptName(msg.ref.Key, msg.ref.Attempt)] {
		m.t.Fatalf("%s of attempt %v was accepted after its end", msg.kind, msg.ref)
	}
	if a.OK {
		m.highest[msg.ref.Key] = msg.ref.Attempt
	}
}

// grantPermit sends a random permit. In revision 2, the agent's failure domain is out.
func (m *gangModel) grantPermit(t *rapid.T) {
	p := messenger.Permit{
		Revision: descriptor.Revision(rapid.IntRange(1, 3).Draw(t, "revision")),
		ValidFor: time.Duration(rapid.IntRange(0, 2000).Draw(t, "validFor")) * time.Millisecond,
	}
	if p.Revision == 2 {
		p.Out = []descriptor.FailureDomainID{testDomain}
	}
	sentAt := m.now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay")) * time.Millisecond)
	m.enforcer.SetPermit(p, sentAt)
	expiry := sentAt.Add(p.ValidFor)
	if p.Revision > m.revision {
		m.revision, m.permitExpiry, m.domainOut = p.Revision, expiry, p.Revision == 2
	} else if p.Revision == m.revision && expiry.After(m.permitExpiry) {
		m.permitExpiry = expiry
	}
}

func (m *gangModel) passTime(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	m.enforcer.ReportAnswered(m.now)
	m.renew()
	if rapid.Bool().Draw(t, "tick") {
		m.enforcer.Tick(m.now)
	}
}

// renew renews the leases that the enforcer asks for.
func (m *gangModel) renew() {
	for _, id := range m.enforcer.TasksToRenew() {
		if w := m.tasks[id]; w != nil && w.State == messenger.TaskRunning {
			m.leaseExpiry[id] = m.now.Add(LeaseDuration)
			m.enforcer.LeaseRenewed(id)
		}
	}
}

// runPendingCall runs the oldest pending call, if there is one.
func (m *gangModel) runPendingCall() {
	if len(m.pendingCalls) > 0 {
		f := m.pendingCalls[0]
		m.pendingCalls = m.pendingCalls[1:]
		f()
	}
}

// deliverLateStart makes the worker process the oldest start whose answer was lost, which it refuses after NotAfter.
func (m *gangModel) deliverLateStart(t *rapid.T) {
	if len(m.lateStarts) == 0 {
		t.Skip("no late start")
	}
	s := m.lateStarts[0]
	m.lateStarts = m.lateStarts[1:]
	_ = m.applyStart(s, time.Time{})
}

// finishTask ends the running task with the lowest ID and lets the agent observe the task list.
func (m *gangModel) finishTask(t *rapid.T) {
	for _, w := range m.taskList() {
		if w.State == messenger.TaskRunning {
			m.tasks[w.ID].State = rapid.SampledFrom([]messenger.TaskState{messenger.TaskDone, messenger.TaskFailed}).Draw(t, "as")
			break
		}
	}
	m.enforcer.ObserveTasks(m.taskList(), m.now)
}

// completeCalls runs all pending calls without faults and checks that nothing unconfirmed runs past its expiry.
func (m *gangModel) completeCalls() {
	m.faultsEnabled = false
	defer func() { m.faultsEnabled = true }()
	m.enforcer.Tick(m.now)
	for len(m.pendingCalls) > 0 {
		m.runPendingCall()
	}
	for _, g := range m.enforcer.gangs {
		if !g.state.Ended() && !g.stopping && !g.confirmed && m.now.After(g.expiry) {
			m.t.Fatalf("%v is still %s after its expiry", g.ref, g.state)
		}
	}
	for _, w := range m.tasks {
		confirmBy := w.StartedAt.Add(ConfirmTimeout + leaseMargin)
		if minConfirmBy := m.adoptedAt.Add(adoptedConfirmTimeout); confirmBy.Before(minConfirmBy) {
			confirmBy = minConfirmBy
		}
		if w.State == messenger.TaskRunning && !m.confirmed[attemptName(w.Key, w.Attempt)] && m.now.After(confirmBy) && m.enforcer.gangs[w.Key] != nil && len(m.lateStarts) == 0 {
			m.t.Fatalf("%s has been running unconfirmed for %v", w.ID, m.now.Sub(w.StartedAt))
		}
	}
}

// checkInvariants checks that no task was started twice, runs after its gang has ended, or shares an accelerator with
// another, and that the free resources agree with the gangs that have not ended.
func (m *gangModel) checkInvariants(t *rapid.T) {
	used := map[int]string{}
	for _, w := range m.tasks {
		if m.runs[w.ID] > 1 {
			t.Fatalf("%s was started %d times", w.ID, m.runs[w.ID])
		}
		if w.State != messenger.TaskRunning {
			continue
		}
		g := m.enforcer.gangs[w.Key]
		if m.adoptedAt.Before(w.StartedAt) && g != nil && g.ref.Attempt == w.Attempt && g.state.Ended() {
			t.Fatalf("%s is running although its gang has ended: %s", w.ID, g.cause)
		}
		for _, i := range w.AcceleratorIndexes {
			if other, taken := used[i]; taken {
				t.Fatalf("accelerator %d is assigned to both %s and %s", i, other, w.ID)
			}
			used[i] = w.ID
		}
	}
	free := descriptor.Resources{Cores: testWorker.Cores, Memory: testWorker.Memory, Accelerators: testWorker.Accelerators}
	reservedIndexes := 0
	for _, g := range m.enforcer.gangs {
		if r := g.resources(); !g.state.Ended() {
			reservedIndexes += int(r.Accelerators)
			free.Cores -= r.Cores
			free.Memory -= r.Memory
			free.Accelerators -= r.Accelerators
		}
	}
	if free != m.enforcer.free || free.Accelerators < 0 || int(testWorker.Accelerators)-reservedIndexes != m.enforcer.countFreeAccelerators() {
		t.Fatalf("free resources are %+v with %d accelerator indexes, want %+v", m.enforcer.free, m.enforcer.countFreeAccelerators(), free)
	}
}

// TestGangProtocol guards against tasks that start twice or without a valid permit, resources given twice or never
// freed, gangs that stay partial, and messages accepted from an older attempt or scheduler. It causes them by lost,
// duplicated, delayed and reordered messages, restarts of the agent and two schedulers. Removing or changing any one of
// these makes it fail:
//   - accelerator given twice: usedAccelerators[i] = true in allocateAccelerators
//   - start without a permit: checkPermit in prepareStart
//   - start after the expiry: NotAfter in prepareStart
//   - older permit accepted: the check of p.Revision in SetPermit
//   - hold leaked: expireIfDue in tickGang
//   - partial gang after 10 s: a longer timeout in acceptStart
//   - started twice: the check of attempts[...].number in Hold
//   - ended gang still running: !calledAt.After(t.startExpiry) in stopTask
//   - older attempt accepted: the check of ref.Attempt in lookupAttempt
//   - older scheduler accepted: the check of ref.Epoch in lookupAttempt
func TestGangProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGangModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":    m.send,
			"course":  m.startGang,
			"forget":  m.acknowledgeEnded,
			"receive": m.receive,
			"permit":  m.grantPermit,
			"pass":    m.passTime,
			"call":    func(*rapid.T) { m.runPendingCall() },
			"late":    m.deliverLateStart,
			"finish":  m.finishTask,
			"settle":  func(*rapid.T) { m.completeCalls() },
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
					m.restartAgent()
				}
			},
			"observe": func(*rapid.T) { m.enforcer.ObserveTasks(m.taskList(), m.now) },
			"":        m.checkInvariants,
		})
		m.faultsEnabled = false
		for range 40 { // without further messages, only confirmed gangs remain
			m.advance(time.Second)
			m.enforcer.ReportAnswered(m.now)
			m.renew()
			m.completeCalls()
		}
		for _, g := range m.enforcer.gangs {
			if !g.state.Ended() && !g.confirmed {
				t.Fatalf("%v is still %s and unconfirmed", g.ref, g.state)
			}
		}
		m.checkInvariants(t)
	})
}

// TestMain fixes the seed and raises the number of checks: the rarest fault listed at TestGangProtocol needs 800
// checks to be detected.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "20261204"} {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
		fmt.Println(name, value)
	}
	m.Run()
}
