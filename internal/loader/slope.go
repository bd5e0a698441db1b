package loader

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxLinearError is the largest LargestError of a slope that counts as straight. A quadratic function over 50, 150 and 400 agents
// has an error of 0.07, so the limit must be lower.
const maxLinearError = 0.05

// Slope is the least-squares fit of value = Base + PerAgent*agents + PerTask*tasks over runs with the same numbers of entries
// and workspaces.
type Slope struct {
	// Of is the name of the measure.
	Of                      string
	Entries, Workspaces     int
	Base, PerAgent, PerTask float64
	// LargestError is the largest deviation of a point from the fit, as a share of the range of the values.
	LargestError float64
	// Straight is set if LargestError is at most maxLinearError.
	Straight bool
	// Points is the number of runs.
	Points int
}

// measures are the figures of a run for which slopes are computed.
var measures = []struct {
	name  string
	value func(r *Run) float64
}{
	{"scheduler CPU %", func(r *Run) float64 { return r.Scheduler.CPU }},
	{"scheduler memory MB", func(r *Run) float64 { return r.Scheduler.Memory }},
	{"scheduler bytes/s", func(r *Run) float64 { return r.Scheduler.Bytes }},
	{"entry CPU %", func(r *Run) float64 { return r.entry().CPU }},
	{"entry memory MB", func(r *Run) float64 { return r.entry().Memory }},
	{"entry bytes/s", func(r *Run) float64 { return r.entry().Bytes }},
	{"store calls/s", func(r *Run) float64 { return sum(r.StoreCalls) }},
	{"store bytes/s", func(r *Run) float64 { return r.StoreBytes }},
	{"documents bytes", func(r *Run) float64 {
		total := 0
		for _, n := range r.Documents {
			total += n
		}
		return float64(total)
	}},
}

// entry returns the cost of an entry that does not schedule, or of the only entry.
func (r *Run) entry() Cost {
	if r.Entry == nil {
		return r.Scheduler
	}
	return *r.Entry
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Slopes fits each measure over groups of runs that differ only in agents and tasks. Groups of fewer than three runs are left out.
func Slopes(runs []Run) []Slope {
	groups := map[[2]int][]Run{}
	var order [][2]int
	for _, r := range runs {
		k := [2]int{r.Entries, r.Workspaces}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	var slopes []Slope
	for _, k := range order {
		for _, m := range measures {
			if s, ok := fitPlane(groups[k], m.value); ok {
				s.Of, s.Entries, s.Workspaces = m.name, k[0], k[1]
				slopes = append(slopes, s)
			}
		}
	}
	return slopes
}

// fitPlane fits value to the numbers of agents and tasks by solving the normal equations of least squares. If the number of tasks
// is constant or proportional to the number of agents, PerTask is 0. It returns false if there are fewer than three runs.
func fitPlane(runs []Run, value func(r *Run) float64) (Slope, bool) {
	if len(runs) < 3 {
		return Slope{}, false
	}
	var equations [3][4]float64
	low, high := math.Inf(1), math.Inf(-1)
	for i := range runs {
		x := [3]float64{1, float64(runs[i].Agents), float64(runs[i].TasksRunning)}
		y := value(&runs[i])
		low, high = min(low, y), max(high, y)
		for a := range 3 {
			for b := range 3 {
				equations[a][b] += x[a] * x[b]
			}
			equations[a][3] += x[a] * y
		}
	}
	coefficients := solveLinear(equations)
	s := Slope{Base: coefficients[0], PerAgent: coefficients[1], PerTask: coefficients[2], Points: len(runs)}
	for i := range runs {
		predicted := coefficients[0] + coefficients[1]*float64(runs[i].Agents) + coefficients[2]*float64(runs[i].TasksRunning)
		if high > low {
			s.LargestError = max(s.LargestError, math.Abs(value(&runs[i])-predicted)/(high-low))
		}
	}
	s.Straight = s.LargestError <= maxLinearError
	return s, true
}

// solveLinear solves three linear equations, given as an augmented matrix, by Gaussian elimination with pivoting. Variables that
// the equations do not determine are 0.
func solveLinear(m [3][4]float64) [3]float64 {
	// Pivots below negligible count as 0.
	const negligible = 1e-9
	for i := range 3 {
		pivot := i
		for r := i + 1; r < 3; r++ {
			if math.Abs(m[r][i]) > math.Abs(m[pivot][i]) {
				pivot = r
			}
		}
		m[i], m[pivot] = m[pivot], m[i]
		if math.Abs(m[i][i]) < negligible {
			m[i] = [4]float64{}
			continue
		}
		for r := range 3 {
			if r == i {
				continue
			}
			f := m[r][i] / m[i][i]
			for c := i; c < 4; c++ {
				m[r][c] -= f * m[i][c]
			}
		}
	}
	var x [3]float64
	for i := range 3 {
		if m[i][i] != 0 {
			x[i] = m[i][3] / m[i][i]
		}
	}
	return x
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "agents\tentries\ttasks\tworkspaces\trole\tCPU %\tMB\tB/s")
	for i := range r.Runs {
		run := &r.Runs[i]
		line := func(role string, c Cost) {
			fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%.2f\t%.1f\t%.0f\n", run.Agents, run.Entries, run.TasksRunning, run.Workspaces, role, c.CPU, c.Memory, c.Bytes)
		}
		line("scheduler", run.Scheduler)
		if run.Entry != nil {
			line("entry", *run.Entry)
		}
		line("agent", run.Agent)
		line("agent in a group", run.GroupedAgent)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "agents\tentries\ttasks\turgent start ms p50/p95/p99 (n)\tpropagation ms p50/p95/max (n)\trequest ms p50/p95/p99 (n)\tfailures\tlargest document B")
	for _, run := range r.Runs {
		u, p, q := run.UrgentStart, run.Propagation, run.RequestTime
		fmt.Fprintf(w, "%d\t%d\t%d\t%.0f/%.0f/%.0f (%d)\t%.0f/%.0f/%.0f (%d)\t%.0f/%.0f/%.0f (%d)\t%d\t%d\n", run.Agents, run.Entries, run.TasksRunning,
			u.P50, u.P95, u.P99, u.Count, p.P50, p.P95, p.Max, p.Count, q.P50, q.P95, q.P99, q.Count, run.Failures, run.LargestDocument)
	}
	fmt.Fprintln(w)
	for _, run := range r.Runs {
		fmt.Fprintf(w, "%d agents, %d entries, %d tasks, %d workspaces:\tstore calls/s %s\tstore B/s %.0f\tmessage B/s %s\n",
			run.Agents, run.Entries, run.TasksRunning, run.Workspaces, formatRates(run.StoreCalls), run.StoreBytes, formatRates(run.MessageBytes))
	}
	if len(r.Slopes) > 0 {
		fmt.Fprintln(w, "\nslope\tentries\tworkspaces\tbase\tper agent\tper task\tlargest error\tstraight")
	}
	for _, s := range r.Slopes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.4g\t%.4g\t%.4g\t%.0f%%\t%v\n", s.Of, s.Entries, s.Workspaces, s.Base, s.PerAgent, s.PerTask, 100*s.LargestError, s.Straight)
	}
	fmt.Fprintln(w, "\n"+r.NotCounted)
	return w.Flush()
}

// formatRates lists the kinds with their rates in alphabetical order.
func formatRates(values map[string]float64) string {
	var parts []string
	for k, v := range values {
		parts = append(parts, fmt.Sprintf("%s %.1f", k, v))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
