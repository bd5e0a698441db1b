package recorder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTrailKeepsTheNewest guards against a trail that grows without bound, loses the newest records, or returns them
// out of order.
func TestTrailKeepsTheNewest(t *testing.T) {
	var trail Trail
	assert.Equal(t, len(trail.Find("", 10)), 0)
	const n = MaxTrailRecords + 100
	for i := range n {
		trail.Add(AuditRecord{Subject: fmt.Sprint("job ", i%2), Action: fmt.Sprint(i)})
	}
	assert.Equal(t, len(trail.Find("", n)), MaxTrailRecords)
	found := trail.Find("job 1", 2)
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[0].Action, fmt.Sprint(n-3))
	assert.Equal(t, found[1].Action, fmt.Sprint(n-1))
	assert.Equal(t, trail.Find("", n)[0].Action, fmt.Sprint(n-MaxTrailRecords))
}

// TestMetricsHaveLabels guards against metrics without the prefix or the labels on which alerts select.
func TestMetricsHaveLabels(t *testing.T) {
	var m Metrics
	m.Increment("decisions_total", "kind", "start")
	m.Increment("decisions_total", "kind", "start")
	m.RegisterGauge("agents", func() float64 { return 7 })
	m.ObserveCompletion("job", "obec", "Survey", "Done", 3*time.Second)
	var b bytes.Buffer
	m.Write(&b)
	for _, want := range []string{
		`persimmontrail_decisions_total{kind="start"} 2`,
		"persimmontrail_agents 7",
		`persimmontrail_job_duration_seconds_count{workspace="obec",class="Survey",result="Done"} 1`,
	} {
		assert.Assert(t, strings.Contains(b.String(), want+"\n"), "%s is missing", want)
	}
}
