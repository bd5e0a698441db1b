// Package recorder keeps the metrics of a process and a bounded audit trail.
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

// TrailLength is how many audit records a process keeps. One record takes
// about 200 bytes, so the trail stays under 1 MB.
const TrailLength = 4096

// Metrics is a set of counters and histograms. The zero value is ready to use.
type Metrics struct {
	once sync.Once
	set  *metrics.Set
}

func (m *Metrics) metrics() *metrics.Set {
	m.once.Do(func() { m.set = metrics.NewSet() })
	return m.set
}

// Completion records the time from acceptance to completion for a workspace and class.
func (m *Metrics) Completion(kind string, w descriptor.WorkspaceID, c descriptor.ClassID, result descriptor.Result, elapsed time.Duration) {
	name := fmt.Sprintf("persimmontrail_%s_duration_seconds{workspace=%q,class=%q,result=%q}", kind, w, c, result)
	m.metrics().GetOrCreateHistogram(name).Update(elapsed.Seconds())
}

// Count adds 1 to a counter. Labels are pairs of name and value.
func (m *Metrics) Count(name string, labels ...string) {
	m.metrics().GetOrCreateCounter("persimmontrail_" + name + formatLabels(labels)).Inc()
}

// Gauge registers a gauge whose value is read when the metrics are written.
func (m *Metrics) Gauge(name string, value func() float64, labels ...string) {
	m.metrics().GetOrCreateGauge("persimmontrail_"+name+formatLabels(labels), value)
}

// Duration records a time span in a histogram.
func (m *Metrics) Duration(name string, elapsed time.Duration, labels ...string) {
	m.metrics().GetOrCreateHistogram("persimmontrail_" + name + formatLabels(labels)).Update(elapsed.Seconds())
}

// Write writes all metrics, and those of the process, in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.metrics().WritePrometheus(w)
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

// AuditRecord is one decision that an operator may ask about.
type AuditRecord struct {
	At time.Time
	// Subject is what the record is about, such as "job fit/17" or "failure domain Sherbrooke".
	Subject string
	Action  string
	Reason  string `json:",omitempty"`
	// By is the operator or process that decided.
	By string `json:",omitempty"`
}

// Trail is a bounded ring of audit records. The zero value is ready to use.
type Trail struct {
	mu      sync.Mutex
	records []AuditRecord
	// next is the position that the next record takes once records is full.
	next int
}

// Add appends a record and drops the oldest when the trail is full.
func (t *Trail) Add(r AuditRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) < TrailLength {
		t.records = append(t.records, r)
		return
	}
	t.records[t.next] = r
	t.next = (t.next + 1) % TrailLength
}

// Find returns the newest records whose subject contains text, oldest first, at most limit.
func (t *Trail) Find(text string, limit int) []AuditRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []AuditRecord{}
	n := len(t.records)
	for i := n - 1; i >= 0 && len(found) < limit; i-- {
		r := t.records[(t.next+i)%n]
		if strings.Contains(r.Subject, text) {
			found = append(found, r)
		}
	}
	for i, j := 0, len(found)-1; i < j; i, j = i+1, j-1 {
		found[i], found[j] = found[j], found[i]
	}
	return found
}
