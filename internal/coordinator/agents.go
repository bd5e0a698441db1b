package coordinator

import (
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// silentLimit is how long an agent may be silent before it gets no new work: three reports.
	silentLimit = 1500 * time.Millisecond
	// lostLimit is how long an agent must be silent before its tasks count as
	// stopped. An agent that hears no entry stops its tasks after 30 s.
	lostLimit = 35 * time.Second
)

// agentState is the last known state of one agent.
type agentState struct {
	report messenger.Report
	// firstHeard and heardAt are when the first and the last report arrived.
	firstHeard, heardAt time.Time
	// replaced is set when another run of an agent reports for the same worker.
	replaced bool
}

func (a *agentState) isSilent(now time.Time) bool { return now.Sub(a.heardAt) > silentLimit }

// isLost reports whether the agent's tasks can be taken as stopped.
func (a *agentState) isLost(now time.Time) bool {
	return a.replaced || now.Sub(a.heardAt) > lostLimit
}

// agentTable holds the agents of the region. Reports of one agent replace each other in order of sequence.
type agentTable struct {
	mu     sync.Mutex
	agents map[string]*agentState
	// byWorker maps each worker to the agent that reported it last.
	byWorker map[descriptor.WorkerID]string
	// changed holds the agents whose tasks were reported since the last call of takeChanged.
	changed map[string]bool
	// forgottenHeard is when the last report of any forgotten agent arrived.
	forgottenHeard time.Time
}

// update stores a report. It returns the complete report and false when the
// report is older than the one held. A report that is not full is completed from
// the one before; without one, resend asks for a full report.
func (t *agentTable) update(r messenger.Report, now time.Time) (complete messenger.Report, fresh, resend bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents == nil {
		t.agents = map[string]*agentState{}
		t.byWorker = map[descriptor.WorkerID]string{}
		t.changed = map[string]bool{}
	}
	a := t.agents[r.Agent]
	switch {
	case a == nil && !r.Full:
		return r, false, true
	case a != nil && r.Sequence <= a.report.Sequence:
		return a.report, false, false
	case a != nil && !r.Full:
		r = mergeReports(a.report, r)
	}
	if a == nil {
		a = &agentState{firstHeard: now}
		t.agents[r.Agent] = a
	}
	a.report = r
	a.heardAt = now
	t.changed[r.Agent] = true
	if r.Worker != nil && !a.replaced {
		t.replaceAgentOf(r.Worker.ID, r.Agent)
	}
	return r, true, false
}

// mergeReports completes a report that holds only changes.
func mergeReports(before, r messenger.Report) messenger.Report {
	if r.Worker == nil {
		r.Worker = before.Worker
	}
	if r.Endpoint == nil {
		r.Endpoint = before.Endpoint
	}
	if r.Address == "" {
		r.Address = before.Address
	}
	if r.FailureDomain == "" {
		r.FailureDomain = before.FailureDomain
	}
	if r.Region == "" {
		r.Region = before.Region
	}
	changed := r.Tasks
	r.Tasks = slices.Clone(before.Tasks)
	for _, c := range changed {
		i := slices.IndexFunc(r.Tasks, func(o messenger.TaskReport) bool { return isSameAttempt(o.Gang, c.Gang) })
		if i < 0 {
			r.Tasks = append(r.Tasks, c)
		} else {
			r.Tasks[i] = c
		}
	}
	return r
}

func isSameAttempt(a, b messenger.GangRef) bool { return a.Key == b.Key && a.Attempt == b.Attempt }

// drop removes ended attempts that an agent may forget.
func (t *agentTable) drop(agent string, refs []messenger.GangRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[agent]
	if a == nil || len(refs) == 0 {
		return
	}
	a.report.Tasks = slices.DeleteFunc(slices.Clone(a.report.Tasks), func(o messenger.TaskReport) bool {
		return slices.ContainsFunc(refs, func(r messenger.GangRef) bool { return isSameAttempt(o.Gang, r) })
	})
}

func (t *agentTable) replaceAgentOf(w descriptor.WorkerID, agent string) {
	before := t.byWorker[w]
	t.byWorker[w] = agent
	if before == "" || before == agent {
		return
	}
	if a := t.agents[before]; a != nil {
		a.replaced = true
		t.changed[before] = true
	}
}

// takeChanged returns the agents that reported since the last call.
func (t *agentTable) takeChanged() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.changed))
	for n := range t.changed {
		names = append(names, n)
	}
	clear(t.changed)
	slices.Sort(names)
	return names
}

// get returns a copy of an agent's state.
func (t *agentTable) get(agent string) (agentState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[agent]
	if a == nil {
		return agentState{}, false
	}
	return *a, true
}

// ofWorker returns the agent that reported a worker last.
func (t *agentTable) ofWorker(w descriptor.WorkerID) (agentState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[t.byWorker[w]]
	if a == nil {
		return agentState{}, false
	}
	return *a, true
}

// all returns copies of all agents ordered by name.
func (t *agentTable) all() []agentState {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]agentState, 0, len(t.agents))
	for _, a := range t.agents {
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b agentState) int {
		if a.report.Agent < b.report.Agent {
			return -1
		}
		return 1
	})
	return list
}

// forget drops agents that have been silent for twice lostLimit and returns their names.
func (t *agentTable) forget(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []string
	for n, a := range t.agents {
		if now.Sub(a.heardAt) <= 2*lostLimit {
			continue
		}
		delete(t.agents, n)
		delete(t.changed, n)
		if a.report.Worker != nil && t.byWorker[a.report.Worker.ID] == n {
			delete(t.byWorker, a.report.Worker.ID)
		}
		gone = append(gone, n)
		if a.heardAt.After(t.forgottenHeard) {
			t.forgottenHeard = a.heardAt
		}
	}
	return gone
}

// allHeardSince returns the agents of all workers, and whether this is complete:
// every agent that was there at the given moment, or came later, is heard now
// and has not been replaced. An agent that came later has read from its worker
// what an earlier run of it started, once it reports the worker.
func (t *agentTable) allHeardSince(at, now time.Time) ([]agentState, bool) {
	list := t.all()
	t.mu.Lock()
	complete := t.forgottenHeard.Before(at)
	t.mu.Unlock()
	members := list[:0]
	for _, a := range list {
		if a.heardAt.Before(at) {
			continue
		}
		complete = complete && !a.isSilent(now) && !a.replaced
		switch {
		case a.report.Worker != nil:
			members = append(members, a)
		case !a.firstHeard.Before(at):
			complete = false
		}
	}
	return members, complete
}
