package soaker

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// entryMemoryMB and entryDescriptors are the limits of an entry, which its settings file names.
	entryMemoryMB    = 184
	entryDescriptors = 4100
)

const (
	// monitorInterval is the pause between two readings of the memory and the descriptors of the entries.
	monitorInterval = 100 * time.Millisecond
	// metricsInterval is the pause between two readings of the metrics, of which each has metricsTimeout.
	metricsInterval = time.Second
	metricsTimeout  = 500 * time.Millisecond
	metricsPort     = 9464
)

// Prefixes of the metrics that the summary counts.
const (
	setAsideMetric  = "persimmontrail_reports_set_aside_total"
	discardedMetric = "persimmontrail_discarded_core_seconds_total"
)

// monitor reads the memory, the descriptors and the metrics of the entries. At the end of a run, summarize checks the
// first two against their limits.
type monitor struct {
	mu sync.Mutex
	// peaks holds the largest readings of each process.
	peaks map[int]peak
	// metrics holds the newest value of each metric, by process and name with labels.
	metrics map[int]map[string]float64
}

// peak is the largest memory of an entry's process, in bytes, and the largest number of its descriptors.
type peak struct {
	entry       string
	memory      int64
	descriptors int
}

// run reads until ctx ends.
func (m *monitor) run(ctx context.Context, dp *deployment) {
	var loops sync.WaitGroup
	loops.Go(func() {
		for ctx.Err() == nil {
			m.readMetrics(ctx, dp)
			pause(ctx, metricsInterval)
		}
	})
	for ctx.Err() == nil {
		for _, e := range dp.entries {
			m.readPeak(e)
		}
		pause(ctx, monitorInterval)
	}
	loops.Wait()
}

// readPeak reads the memory and the descriptors of an entry. A process that has just exited is left out.
func (m *monitor) readPeak(e *entry) {
	pid := e.pid()
	memory := readPeakMemory(pid)
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peaks == nil {
		m.peaks = map[int]peak{}
	}
	m.peaks[pid] = peak{e.name, max(m.peaks[pid].memory, memory), max(m.peaks[pid].descriptors, len(descriptors))}
}

// readPeakMemory returns the largest resident memory of a process so far, in bytes, or 0 if the process has exited.
func readPeakMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

// readMetrics reads the metrics of all entries at the same time. An entry that does not answer keeps its earlier values.
func (m *monitor) readMetrics(ctx context.Context, dp *deployment) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	var reads sync.WaitGroup
	for _, e := range dp.entries {
		reads.Go(func() {
			pid := e.pid()
			values := fetchMetrics(ctx, fmt.Sprintf("http://%s:%d/metrics", e.ip, metricsPort))
			if pid != e.pid() || len(values) == 0 {
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.metrics == nil {
				m.metrics = map[int]map[string]float64{}
			}
			m.metrics[pid] = values
		})
	}
	reads.Wait()
}

// fetchMetrics returns the metrics of the summary, by name with labels.
func fetchMetrics(ctx context.Context, url string) map[string]float64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	values := map[string]float64{}
	for s := bufio.NewScanner(response.Body); s.Scan(); {
		name, text, _ := strings.Cut(s.Text(), " ")
		if !strings.HasPrefix(name, setAsideMetric) && !strings.HasPrefix(name, discardedMetric) {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

// summarize adds the readings to the result, and a violation for each process that exceeded a limit.
func (m *monitor) summarize(r *Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for pid, p := range m.peaks {
		r.PeakMemory, r.PeakDescriptors = max(r.PeakMemory, p.memory), max(r.PeakDescriptors, p.descriptors)
		if p.memory > entryMemoryMB<<20 || p.descriptors > entryDescriptors {
			r.Violations = append(r.Violations, fmt.Sprintf("%s, process %d, took up to %d MB and %d descriptors; its limits are %d MB and %d",
				p.entry, pid, p.memory>>20, p.descriptors, entryMemoryMB, entryDescriptors))
		}
	}
	r.DiscardedWork = map[string]float64{}
	for _, values := range m.metrics {
		for name, value := range values {
			if cause, ok := strings.CutPrefix(name, discardedMetric+`{cause="`); ok {
				r.DiscardedWork[strings.TrimSuffix(cause, `"}`)] += value
			} else {
				r.SetAside += value
			}
		}
	}
}
