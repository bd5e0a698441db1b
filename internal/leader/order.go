package leader

import "persimmontrail/internal/agent"

// reportOrder orders the reports of one agent, which may overtake each other on the way.
type reportOrder struct {
	// life and seq are those of the newest report that was accepted; life is 0 before the first one.
	life agent.Life
	seq  uint64
}

// verdict says how a report relates to those that were accepted before.
type verdict string

const (
	// verdictNewer means that the report is the newest one. A repeated report counts as one, since it changes nothing.
	verdictNewer verdict = "Newer"
	// verdictOlder means that a newer report of the same life was accepted.
	verdictOlder verdict = "Older"
	// verdictOtherLife means that the report comes from another life than the newest one and may be older: it answers a
	// call that was sent before that life was known. The answer to the next poll decides.
	verdictOtherLife verdict = "OtherLife"
	// verdictForeign means that the report comes from another node, or from the former address of the node.
	verdictForeign verdict = "Foreign"
	// verdictOtherFence means that the agent follows another leader, or has not followed this one yet.
	verdictOtherFence verdict = "OtherFence"
)

// judge returns the verdict on a report of the agent, and remembers the report if it is the newest one.
func (o *reportOrder) judge(report *agent.Report) verdict {
	switch {
	case report.Life == o.life && report.Seq < o.seq:
		return verdictOlder
	case report.Life != o.life && report.KnownLife != o.life:
		return verdictOtherLife
	}
	o.life, o.seq = report.Life, report.Seq
	return verdictNewer
}

// judge returns the verdict on a report that a link has received. Only a newer report says anything about the present
// state of the agent and its worker.
func (t *term) judge(l *link, report *agent.Report) verdict {
	result := verdictForeign
	if t.links[l.node] == l && report.Node == l.node {
		result = verdictOtherFence
		if report.Fence == t.fence {
			l.mu.Lock()
			result = l.order.judge(report)
			l.mu.Unlock()
		}
	}
	if result == verdictNewer {
		return result
	}
	t.leader.Metrics.Increment("reports_set_aside_total", "verdict", string(result))
	if result != verdictOtherFence {
		// A leader that was replaced learns of it from the store, and until then from each report.
		t.leader.Log.Info("report set aside", "node", l.node, "verdict", result, "from", report.Node, "life", report.Life, "seq", report.Seq,
			"born", report.Status.Incarnation.Born, "gone", report.WorkerGone, "draining", report.Status.Draining)
	}
	return result
}
