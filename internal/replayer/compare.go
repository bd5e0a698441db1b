package replayer

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"persimmontrail/internal/scheduler"
)

// Comparison holds the reports of both policies on one trace. The report of a policy that was not replayed is nil.
type Comparison struct {
	Trace                Trace
	Guaranteed, Baseline *Report
}

// OutcomeResult states whether an outcome was met.
type OutcomeResult struct {
	Outcome Outcome
	Met     bool
	// Unchecked is set when a policy that the check needs was not replayed.
	Unchecked bool `json:",omitempty"`
	// Detail lists the compared figures, or names the policy that was not replayed.
	Detail string
}

// Compare replays t with both policies, one after the other. The reports in the result are not nil.
func Compare(t Trace) (*Comparison, error) {
	guaranteed, err := Replay(t, scheduler.PolicyGuaranteed)
	if err != nil {
		return nil, err
	}
	baseline, err := Replay(t, scheduler.PolicyBaseline)
	if err != nil {
		return nil, err
	}
	return &Comparison{Trace: t, Guaranteed: guaranteed, Baseline: baseline}, nil
}

// Outcomes checks the outcomes that the trace states and returns one result for each, in the same order.
func (c *Comparison) Outcomes() []OutcomeResult {
	var results []OutcomeResult
	for _, o := range c.Trace.Header.Outcomes {
		if missing := c.missingPolicy(); missing != "" {
			results = append(results, OutcomeResult{Outcome: o, Unchecked: true, Detail: "needs the " + missing + " policy"})
			continue
		}
		met, detail := c.checkOutcome(o)
		results = append(results, OutcomeResult{Outcome: o, Met: met, Detail: detail})
	}
	return results
}

// missingPolicy returns the name of the policy that was not replayed, or an empty string. All outcomes need both policies:
// they are stated for the guaranteed policy, and their details include the baseline's figures.
func (c *Comparison) missingPolicy() string {
	switch {
	case c.Guaranteed == nil:
		return "guaranteed"
	case c.Baseline == nil:
		return "baseline"
	}
	return ""
}

// columns returns the reports that the table shows, with their headings.
func (c *Comparison) columns() (reports []*Report, headings []string) {
	if c.Guaranteed != nil {
		reports = append(reports, c.Guaranteed)
		headings = append(headings, "guaranteed")
	}
	if c.Baseline != nil {
		reports = append(reports, c.Baseline)
		headings = append(headings, "baseline")
	}
	return reports, headings
}

// checkOutcome reports whether o is met and lists the compared figures.
func (c *Comparison) checkOutcome(o Outcome) (bool, string) {
	g, b := c.Guaranteed, c.Baseline
	switch o.Name {
	case OutcomeGuaranteeViolations:
		return checkCount(o, g.GuaranteeViolations, b.GuaranteeViolations)
	case OutcomeUrgentWithinTarget:
		return c.checkUrgent(o)
	case OutcomeLargeWait:
		ratio := 1.0
		if b.LargeWait.P95 > 0 {
			ratio = float64(g.LargeWait.P95) / float64(b.LargeWait.P95)
		}
		return ratio <= o.Limit, fmt.Sprintf("%v to %v, ratio %.2f, limit %.2f", roundForDisplay(g.LargeWait.P95), roundForDisplay(b.LargeWait.P95), ratio, o.Limit)
	case OutcomeUtilisation:
		points := 100 * (b.Utilisation - g.Utilisation)
		return points <= o.Limit, fmt.Sprintf("%.1f points below, limit %.1f", points, o.Limit)
	case OutcomeUnaccounted:
		return checkCount(o, g.Unaccounted, b.Unaccounted)
	case OutcomeWrongRefusals:
		return checkCount(o, g.WrongRefusals, b.WrongRefusals)
	case OutcomePartialGangs:
		return checkCount(o, g.PartialGangs, b.PartialGangs)
	case OutcomeStartsInRemovedDomain:
		return checkCount(o, g.StartsInRemovedDomain, b.StartsInRemovedDomain)
	case OutcomeRepeatedRuns:
		return checkCount(o, g.RepeatedRuns, b.RepeatedRuns)
	case OutcomeInvalidDecisions:
		return checkCount(o, g.InvalidDecisions, b.InvalidDecisions)
	}
	return false, "unknown outcome"
}

// checkCount reports whether a count of the guaranteed policy is within the limit of o, and lists the compared figures.
func checkCount(o Outcome, guaranteed, baseline int) (bool, string) {
	return float64(guaranteed) <= o.Limit, fmt.Sprintf("%d, limit %.0f; baseline %d", guaranteed, o.Limit, baseline)
}

// checkUrgent reports whether the p99 completion time of the class of o is within its target, and lists the compared figures. It
// returns false if no job of the class is completed or a report lacks the class.
func (c *Comparison) checkUrgent(o Outcome) (bool, string) {
	g, b := c.Guaranteed.class(o.Class), c.Baseline.class(o.Class)
	if g == nil || b == nil || g.Completed == 0 {
		return false, fmt.Sprintf("no completed job of class %s", o.Class)
	}
	baselineVerdict := "misses it"
	if b.Completion.P99 <= b.Target {
		baselineVerdict = "meets it too"
	}
	detail := fmt.Sprintf("%s p99 %v, target %v; baseline %v, %s", o.Class, roundForDisplay(g.Completion.P99), roundForDisplay(g.Target), roundForDisplay(b.Completion.P99), baselineVerdict)
	return g.Completion.P99 <= g.Target, detail
}

// Table formats the reports side by side, followed by the outcomes. At least one policy must have been replayed.
func (c *Comparison) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Trace %s, seed %d\n\n", c.Trace.Header.Name, c.Trace.Header.Seed)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	reports, headings := c.columns()
	fmt.Fprintf(w, "measure\t%s\n", strings.Join(headings, "\t"))
	for _, r := range c.rows(reports[0]) {
		cells := []string{r.name}
		for _, p := range reports {
			cells = append(cells, r.cell(p))
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	fmt.Fprintln(w, "\t\t")
	fmt.Fprintln(w, "outcome\tmet\tfigures")
	for _, o := range c.Outcomes() {
		met := "no"
		switch {
		case o.Unchecked:
			met = "unchecked"
		case o.Met:
			met = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", o.Outcome.Name, met, o.Detail)
	}
	w.Flush()
	return b.String()
}

// row is one measure in the table. The function cell formats its value in a report.
type row struct {
	name string
	cell func(*Report) string
}

// rows returns the measures in the table. The classes and windows are taken from first, as all reports of a trace have the same.
func (c *Comparison) rows(first *Report) []row {
	var rows []row
	for i, k := range first.Classes {
		rows = append(rows,
			row{fmt.Sprintf("%s completion p50, p95, p99", k.Class), func(r *Report) string { return r.Classes[i].Completion.String() }},
			row{fmt.Sprintf("%s within %v", k.Class, roundForDisplay(k.Target)), func(r *Report) string {
				return fmt.Sprintf("%s of %d", percent(r.Classes[i].WithinTarget), r.Classes[i].Completed)
			}})
	}
	rows = append(rows,
		row{"large jobs' wait p50, p95, p99", func(r *Report) string { return r.LargeWait.String() }},
		row{"utilisation", func(r *Report) string { return percent(r.Utilisation) }},
		row{"fragmentation", func(r *Report) string { return percent(r.Fragmentation) }},
		row{"reclaims", func(r *Report) string { return fmt.Sprint(r.Reclaims) }},
		row{"lost to reclaim", func(r *Report) string { return fmt.Sprintf("%.1f accelerator-h", r.LostToReclaim) }},
		row{"lost to failures", func(r *Report) string { return fmt.Sprintf("%.1f accelerator-h", r.LostToFailures) }},
		row{"guarantee violations", func(r *Report) string { return fmt.Sprint(r.GuaranteeViolations) }},
		row{"accepted = completed + cancelled + refused + unaccounted", func(r *Report) string {
			return fmt.Sprintf("%d = %d + %d + %d + %d", r.Accepted, r.Completed, r.Cancelled, r.Refused, r.Unaccounted)
		}},
		row{"wrong refusals", func(r *Report) string { return fmt.Sprint(r.WrongRefusals) }},
		row{"partial gangs", func(r *Report) string { return fmt.Sprint(r.PartialGangs) }},
		row{"starts in a removed failure domain", func(r *Report) string { return fmt.Sprint(r.StartsInRemovedDomain) }},
		row{"repeated non-idempotent runs", func(r *Report) string { return fmt.Sprint(r.RepeatedRuns) }},
		row{"invalid decisions", func(r *Report) string { return fmt.Sprint(r.InvalidDecisions) }},
	)
	for i, v := range first.Windows {
		rows = append(rows, row{fmt.Sprintf("work while %s was out and back", v.FailureDomain), func(r *Report) string { return r.Windows[i].String() }})
	}
	return rows
}

// String formats the work with and without the fault, and their ratio.
func (w Window) String() string {
	share := 0.0
	if w.WorkWithoutFault > 0 {
		share = w.Work / w.WorkWithoutFault
	}
	return fmt.Sprintf("%.1f of %.1f accelerator-h (%s)", w.Work, w.WorkWithoutFault, percent(share))
}

// String formats the p50, p95 and p99, rounded for display.
func (p Percentiles) String() string {
	return fmt.Sprintf("%v, %v, %v", roundForDisplay(p.P50), roundForDisplay(p.P95), roundForDisplay(p.P99))
}

func percent(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }

// roundForDisplay rounds durations below 10 s to 100 ms, and others to 1 s.
func roundForDisplay(d time.Duration) time.Duration {
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond)
	}
	return d.Round(time.Second)
}
