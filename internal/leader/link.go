package leader

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/connector"
	"persimmontrail/internal/encoder"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

const (
	// minPollWait is the shortest time that a poll waits at the agent for a change. A new progress percentage does not
	// end the wait, so the leader may learn of it that much later than the agent.
	minPollWait = 600 * time.Millisecond
	// pollWaitPerAgent makes the wait grow with the number of agents, up to maxPollWait, to spare a leader that has
	// little bandwidth and a fifth of a core. While nothing changes, a leader of up to 250 agents makes at most 250
	// polls per second. maxPollWait must stay below 1.5 s: a worker gets no new tasks if its last report is older.
	pollWaitPerAgent = 4 * time.Millisecond
	maxPollWait      = time.Second
	// pollGrace is how much longer than its wait a poll may take before it is abandoned; the next poll uses a new
	// connection.
	pollGrace = 500 * time.Millisecond
	// orderTimeout bounds a call with orders; the agent retries an unanswered start for 0.75 s.
	orderTimeout = 1300 * time.Millisecond
	// dialTimeout bounds the set-up of a connection; regions are 24 ms apart.
	dialTimeout = 500 * time.Millisecond
	// minLinkRetryPause is the pause after the first failed poll; it doubles with each further failure, up to
	// maxLinkRetryPause.
	minLinkRetryPause = 100 * time.Millisecond
	maxLinkRetryPause = 800 * time.Millisecond
	// maxReportBytes bounds a report: 500 ended and a few hundred running attempts take 0.1 MB.
	maxReportBytes = 4 << 20
)

// link is the leader's connection to one agent.
type link struct {
	term    *term
	node    string
	address string
	cancel  context.CancelFunc

	// The following fields belong to the term's goroutine.

	// reported is true once the agent has reported the attempts of the current incarnation under this term's fence.
	reported bool
	// waitingSince is the time at which the wait for that report began.
	waitingSince time.Time
	// lastClock is the worker's clock in the last report.
	lastClock descriptor.WorkerClock
	// lastClockAt is the time at which the report with lastClock arrived.
	lastClockAt time.Time
	// draining is true if the worker was draining according to the last report.
	draining bool

	// mu guards the following fields.
	mu sync.Mutex
	// order tells which of the agent's reports is the newest.
	order       reportOrder
	incarnation descriptor.Incarnation
	// maxHoldUntil is the latest hold deadline sent to this incarnation. A former leader cannot set a later one, since
	// the agent refuses its calls.
	maxHoldUntil descriptor.WorkerClock
	// holdUntil is the hold deadline to send with the next call.
	holdUntil descriptor.WorkerClock
	// ackedSeq is the sequence number up to which the next call acknowledges ended attempts.
	ackedSeq int64
}

// agents makes the calls of all links of the process.
var agents = connector.Connector{DialTimeout: dialTimeout}

// ctx returns the context of run. Links that are opened later and all calls with orders end with it.
func (t *term) ctx() context.Context { return t.linkCtx }

// addAgent opens a link to an agent, or replaces the link if the agent's address has changed. A replacement keeps what
// is known of the agent's reports and of the worker's clock, incarnation and hold deadline.
func (t *term) addAgent(ctx context.Context, item archiver.Item) {
	member, err := archiver.DecodeMember(item)
	if err != nil {
		t.leader.setAsideDocument(item, err)
		return
	}
	old := t.links[member.Node]
	if old != nil && old.address == member.Address {
		return
	}
	l := &link{term: t, node: member.Node, address: member.Address, waitingSince: t.startedAt}
	if old != nil {
		old.cancel()
		old.mu.Lock()
		l.waitingSince, l.reported, l.lastClock, l.lastClockAt, l.incarnation, l.maxHoldUntil, l.order = old.waitingSince, old.reported,
			old.lastClock, old.lastClockAt, old.incarnation, old.maxHoldUntil, old.order
		old.mu.Unlock()
	}
	var linkCtx context.Context
	linkCtx, l.cancel = context.WithCancel(ctx)
	t.links[member.Node] = l
	t.agentCount.Store(int64(len(t.links)))
	go l.poll(linkCtx)
}

// poll polls the agent for reports until ctx is done.
func (l *link) poll(ctx context.Context) {
	var knownVersion uint64
	pause := minLinkRetryPause
	unreachable := false
	for ctx.Err() == nil {
		request := l.nextPoll(knownVersion)
		report, err := l.call(ctx, request, request.Wait+pollGrace)
		if ctx.Err() != nil {
			return
		}
		if err == nil && report.Node != l.node {
			err = fmt.Errorf("address belongs to another agent: %s", report.Node)
		}
		if err != nil {
			if !unreachable {
				l.term.leader.Log.Warn("agent unreachable", "node", l.node, "address", l.address, "err", err)
			}
			unreachable = true
			sleep(ctx, pause)
			pause = min(2*pause, maxLinkRetryPause)
			continue
		}
		if unreachable {
			l.term.leader.Log.Info("agent reachable again", "node", l.node)
		}
		unreachable, pause, knownVersion = false, minLinkRetryPause, report.Version
		receivedAt := time.Now()
		l.term.post(func() { l.term.handleReport(l, report, receivedAt) })
	}
}

// pollWait returns how long a poll waits at an agent, given the current number of agents.
func (t *term) pollWait() time.Duration {
	return min(max(time.Duration(t.agentCount.Load())*pollWaitPerAgent, minPollWait), maxPollWait)
}

// nextPoll returns the next poll with the current hold deadline and acknowledgement.
func (l *link) nextPoll(knownVersion uint64) agent.SyncRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxHoldUntil = max(l.maxHoldUntil, l.holdUntil)
	return agent.SyncRequest{
		Fence: l.term.fence, KnownVersion: knownVersion, KnownLife: l.order.life, Wait: l.term.pollWait(), Incarnation: l.incarnation,
		HoldUntil: l.holdUntil, AckedSeq: l.ackedSeq,
	}
}

// send sends orders to the agent and returns without waiting for the answer, which it passes to the term. If the orders
// are for the link's current incarnation, they carry its hold deadline and acknowledgement. Orders that were lost with a
// connection of earlier calls are sent once more, on a new connection: orders are idempotent, and the planner would
// take seconds to find that a start was lost.
func (l *link) send(orders agent.SyncRequest) {
	l.mu.Lock()
	orders.KnownLife = l.order.life
	if l.incarnation == orders.Incarnation {
		l.maxHoldUntil = max(l.maxHoldUntil, l.holdUntil)
		orders.HoldUntil, orders.AckedSeq = l.holdUntil, l.ackedSeq
	}
	l.mu.Unlock()
	go func() {
		report, err := l.call(l.term.ctx(), orders, orderTimeout)
		if connector.OnReused(err) {
			l.term.leader.Log.Info("orders repeated on a new connection", "node", l.node, "starts", len(orders.Starts),
				"stops", len(orders.Stops), "err", err)
			if report, err = l.call(l.term.ctx(), orders, orderTimeout); err == nil {
				dropRefusals(report.Results)
			}
		}
		receivedAt := time.Now()
		if err != nil {
			l.term.leader.Log.Warn("no answer to orders", "node", l.node, "starts", len(orders.Starts),
				"stops", len(orders.Stops), "err", err)
			return
		}
		l.term.post(func() { l.term.handleResults(l, orders, report, receivedAt) })
	}()
}

// dropRefusals turns refusals into unknown results: the call is a repeated one, and the first may have been carried out.
func dropRefusals(results []agent.Result) {
	for i := range results {
		results[i].Refused = ""
	}
}

// acknowledge tells the agent that ended attempts up to the sequence number ackedSeq are durably recorded, unless it
// was told so before or its worker has another incarnation.
func (l *link) acknowledge(incarnation descriptor.Incarnation, ackedSeq int64) {
	l.mu.Lock()
	advanced := incarnation == l.incarnation && ackedSeq > l.ackedSeq
	if advanced {
		l.ackedSeq = ackedSeq
	}
	l.mu.Unlock()
	if advanced {
		l.send(agent.SyncRequest{Fence: l.term.fence, Incarnation: incarnation})
	}
}

// call sends a message to the agent and returns its report. It sends nothing once the term's lease may have expired, which
// a process that was paused may not have noticed yet.
func (l *link) call(ctx context.Context, message agent.SyncRequest, timeout time.Duration) (agent.Report, error) {
	if l.term.leaseExpired() {
		return agent.Report{}, errLeaseExpired
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if callAgent := l.term.leader.CallAgent; callAgent != nil {
		return callAgent(callCtx, l.address, message)
	}
	return callByHTTP(callCtx, l.address, message)
}

func callByHTTP(ctx context.Context, address string, message agent.SyncRequest) (agent.Report, error) {
	var report agent.Report
	body, err := message.Encode()
	if err != nil {
		return report, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+agent.SyncPath, bytes.NewReader(body))
	if err != nil {
		return report, err
	}
	response, err := agents.Do(request, maxReportBytes)
	if err != nil {
		return report, err
	}
	if response.Status != http.StatusOK {
		return report, fmt.Errorf("agent answered with status %d", response.Status)
	}
	return report, encoder.Unmarshal(response.Body, &report)
}

// estimatedClock estimates the worker's clock. The estimate is ahead of that clock only if the clock runs slower than
// this process's clock.
func (l *link) estimatedClock(now time.Time) descriptor.WorkerClock {
	return l.lastClock + descriptor.WorkerClock(now.Sub(l.lastClockAt).Milliseconds())
}

// holdExpired reports whether the hold deadline has certainly passed without a new report, so that the worker has ended
// all its attempts.
func (l *link) holdExpired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := float64(now.Sub(l.lastClockAt).Milliseconds()) / maxClockSlowdown
	expiry := max(l.maxHoldUntil, l.lastClock+descriptor.WorkerClock(l.term.leader.MaxHold.Milliseconds())) +
		descriptor.WorkerClock(l.term.leader.HoldSlack.Milliseconds())
	return float64(l.lastClock)+elapsed > float64(expiry)
}

// handleReport processes an agent's report if it is the newest one. Lists that are not current do not reach the planner
// and extend no hold deadline. Once the incarnation has reported, the same holds for lists that are older than the last
// ones, or that repeat them while Draining is unchanged.
func (t *term) handleReport(l *link, report agent.Report, receivedAt time.Time) {
	if t.judge(l, &report) != verdictNewer {
		return
	}
	if report.WorkerGone {
		t.core.RemoveNode(l.node, receivedAt, "worker shut down or its process is gone")
		return
	}
	if !report.HasStatus {
		return
	}
	l.mu.Lock()
	if report.Status.Incarnation != l.incarnation {
		l.incarnation, l.holdUntil, l.maxHoldUntil, l.ackedSeq = report.Status.Incarnation, 0, 0, 0
		l.reported, l.waitingSince = false, receivedAt
	}
	l.mu.Unlock()
	// An agent whose worker does not answer repeats the last lists, which say nothing about the worker's current state.
	repeated := report.Clock <= l.lastClock && report.Status.Draining == l.draining
	if !report.ListsCurrent || l.reported && (repeated || report.Clock < l.lastClock) {
		return
	}
	l.draining = report.Status.Draining
	if !l.reported || report.Clock > l.lastClock {
		l.reported, l.lastClock, l.lastClockAt = true, report.Clock, receivedAt
	}
	l.mu.Lock()
	l.holdUntil = report.Clock + descriptor.WorkerClock(t.leader.MaxHold.Milliseconds())
	l.mu.Unlock()
	stops := t.core.Observe(planner.Observation{
		Node: l.node, Status: report.Status, Clock: report.Clock, Running: report.Running, Ended: report.Ended, AllEnds: report.AllEnds,
		Received: receivedAt,
	})
	t.pendingStops = append(t.pendingStops, stops...)
}

// handleResults processes the results of starts and stops, and then the report that came with them. Results stay true
// when the report has been overtaken: each is about one attempt in one incarnation, and what the lists have shown of the
// attempt goes before it.
func (t *term) handleResults(l *link, sent agent.SyncRequest, report agent.Report, receivedAt time.Time) {
	if report.Node != l.node {
		report.Results = nil
	}
	for _, x := range report.Results {
		switch {
		case x.Stopped:
			t.core.HandleStopped(l.node, sent.Incarnation, x.AttemptID, x.Clock)
		case slices.Contains(sent.Stops, x.AttemptID):
			t.leader.Log.Info("no answer to stop", "job", x.Task.Job, "task", x.Task, "run", x.Attempt, "node", l.node)
		case x.Started:
			t.core.HandleStarted(l.node, sent.Incarnation, x.AttemptID, x.Clock, receivedAt)
		case x.Refused != "":
			t.leader.Log.Info("start refused", "job", x.Task.Job, "task", x.Task, "run", x.Attempt, "node", l.node, "reason", x.Refused)
			t.core.HandleRefused(l.node, sent.Incarnation, x.AttemptID, x.Refused, receivedAt)
		default:
			t.leader.Log.Info("no answer to start", "job", x.Task.Job, "task", x.Task, "run", x.Attempt, "node", l.node)
		}
	}
	t.handleReport(l, report, receivedAt)
}
