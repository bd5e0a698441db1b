// Package recorder collects the metrics of a process, keeps a bounded audit trail and buffers log lines.
package recorder

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"persimmontrail/pkg/descriptor"
)

// MaxTrailRecords is the capacity of a Trail. A record takes about 200 bytes, so a full trail stays below 1 MB.
const MaxTrailRecords = 4096

// Metrics is a set of counters, gauges and histograms. Its methods add the prefix "persimmontrail_" to metric names.
// Arguments named labels alternate label names and values. The zero value is ready to use.
type Metrics struct {
	once sync.Once
	set  *metrics.Set
}

func (m *Metrics) metricSet() *metrics.Set {
	m.once.Do(func() { m.set = metrics.NewSet() })
	return m.set
}

// ObserveCompletion records the time from acceptance to completion in a histogram. kind is "job" or "request".
func (m *Metrics) ObserveCompletion(kind string, w descriptor.WorkspaceID, c descriptor.ClassID, result descriptor.Result, elapsed time.Duration) {
	name := fmt.Sprintf("persimmontrail_%s_duration_seconds{workspace=%q,class=%q,result=%q}", kind, w, c, result)
	m.metricSet().GetOrCreateHistogram(name).Update(elapsed.Seconds())
}

// Increment adds 1 to a counter.
func (m *Metrics) Increment(name string, labels ...string) {
	m.metricSet().GetOrCreateCounter("persimmontrail_" + name + formatLabels(labels)).Inc()
}

// Add adds a value, which must not be negative, to a counter of fractions.
func (m *Metrics) Add(name string, value float64, labels ...string) {
	m.metricSet().GetOrCreateFloatCounter("persimmontrail_" + name + formatLabels(labels)).Add(value)
}

// RegisterGauge registers a gauge. Write calls value to read it. If the gauge is already registered, it keeps its
// earlier function.
func (m *Metrics) RegisterGauge(name string, value func() float64, labels ...string) {
	m.metricSet().GetOrCreateGauge("persimmontrail_"+name+formatLabels(labels), value)
}

// ObserveDuration records elapsed, in seconds, in a histogram.
func (m *Metrics) ObserveDuration(name string, elapsed time.Duration, labels ...string) {
	m.metricSet().GetOrCreateHistogram("persimmontrail_" + name + formatLabels(labels)).Update(elapsed.Seconds())
}

// Write writes the metrics of m and those of the Go process in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.metricSet().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func formatLabels(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return "{" + strings.Join(pairs, ",") + "}"
}

// AuditRecord is one decision in the audit trail, which operators can query.
type AuditRecord struct {
	At time.Time
	// Subject is the object of the decision, such as "job fit/17" or "failure domain Sherbrooke".
	Subject string
	Action  string
	Reason  string `json:",omitempty"`
	// By is the operator or process that made the decision.
	By string `json:",omitempty"`
}

// Trail is a ring buffer of audit records. The zero value is ready to use.
type Trail struct {
	mu      sync.Mutex
	records []AuditRecord
	// oldest is the index of the oldest record, which the next one replaces if records is full.
	oldest int
}

// Add appends a record. If the trail is full, the oldest record is dropped.
func (t *Trail) Add(r AuditRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) < MaxTrailRecords {
		t.records = append(t.records, r)
		return
	}
	t.records[t.oldest] = r
	t.oldest = (t.oldest + 1) % MaxTrailRecords
}

// Find returns the newest records whose subject contains text, at most limit of them, oldest first. The result is not
// nil.
func (t *Trail) Find(text string, limit int) []AuditRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []AuditRecord{}
	n := len(t.records)
	for i := n - 1; i >= 0 && len(found) < limit; i-- {
		r := t.records[(t.oldest+i)%n]
		if strings.Contains(r.Subject, text) {
			found = append(found, r)
		}
	}
	for i, j := 0, len(found)-1; i < j; i, j = i+1, j-1 {
		found[i], found[j] = found[j], found[i]
	}
	return found
}
