package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/recorder"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// printSection prints a blank line and a table with its own column widths.
func printSection(w io.Writer, rows func(w io.Writer)) {
	fmt.Fprintln(w)
	printTable(w, rows)
}

// printTable prints the lines that rows writes, with aligned columns. rows must write a tab after each cell of a line
// except the last.
func printTable(w io.Writer, rows func(w io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows(t)
	t.Flush()
}

// printStatus prints the status of an entry as several tables. w must not be a tabwriter, since each table
// has its own column widths.
func printStatus(w io.Writer, s coordinator.Status) {
	storeState := "reached"
	if !s.StoreReached {
		storeState = "not reached"
	}
	fmt.Fprintf(w, "entry %s in %s: revision %d, store %s, %s\n", s.Entry, s.Region, s.Revision, storeState, describePermit(s.PermitLeft))
	printSection(w, func(w io.Writer) {
		fmt.Fprintln(w, "ENTRY\tREGION\tFAILURE DOMAIN\tADDRESS\tLAST RENEWAL")
		for _, m := range s.Entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Entry, m.Region, m.FailureDomain, m.HTTPAddress, m.Renewed.Format(time.TimeOnly))
		}
	})
	printSection(w, func(w io.Writer) { printDomains(w, s) })
	printSection(w, func(w io.Writer) {
		fmt.Fprintln(w, "AGENT\tSTATE\tFAILURE DOMAIN\tWORKER\tENDPOINT\tTASKS\tREVISION")
		for _, a := range s.Agents {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", a.Agent, agentState(a), a.FailureDomain, workerColumn(a), endpointColumn(a), a.Tasks, a.Revision)
		}
	})
	for _, r := range s.Regions {
		printRegion(w, r)
	}
	if len(s.Notes) > 0 {
		fmt.Fprintln(w)
	}
	for _, n := range s.Notes {
		fmt.Fprintf(w, "note: %s\n", n)
	}
}

// describePermit says for how much longer work may be started if the entry does not confirm its configuration again.
func describePermit(left descriptor.Duration) string {
	if left <= 0 {
		return "no starts are permitted"
	}
	return fmt.Sprintf("starts are permitted for %v", left.TimeDuration().Round(10*time.Millisecond))
}

// printDomains prints the failure domains, and totals over the agents in each. Agents report only to entries of
// their own region, so the entry has no totals for other regions. The accelerators of silent agents are left out.
func printDomains(w io.Writer, s coordinator.Status) {
	fmt.Fprintln(w, "FAILURE DOMAIN\tREGION\tSTATE\tAGENTS\tSILENT\tACCELERATORS\tTASKS")
	for _, d := range s.FailureDomains {
		var agents, silentAgents, accelerators, tasks int
		for _, a := range s.Agents {
			if a.FailureDomain != d.Name {
				continue
			}
			agents++
			tasks += a.Tasks
			if a.Silent {
				silentAgents++
				continue
			}
			if a.Worker != nil {
				accelerators += int(a.Worker.Accelerators)
			}
		}
		if d.Region != s.Region {
			fmt.Fprintf(w, "%s\t%s\t%s\tseen by the entries of %s only\n", d.Name, d.Region, domainState(d.Out), d.Region)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", d.Name, d.Region, domainState(d.Out), agents, silentAgents, accelerators, tasks)
	}
}

// printRegion prints the scheduler, the fragmentation and the guarantees of a region.
func printRegion(w io.Writer, r coordinator.RegionStatus) {
	f := r.Fragmentation
	fmt.Fprintf(w, "\nregion %s: scheduler %s, epoch %s, %d jobs, %d gangs, utilisation %.0f%%\n", r.Region, r.Scheduler, r.Epoch, r.Jobs, r.Gangs, 100*f.Utilisation)
	fmt.Fprintf(w, "%d accelerators are free, %d of them of no use to the largest shape (%d within one %s)\n", f.Free, f.Unusable, f.Largest.Accelerators, f.Largest.Adjacency)
	if f.LargeWaiting > 0 {
		fmt.Fprintf(w, "%d large jobs wait, for %v at most\n", f.LargeWaiting, f.LongestWait.Round(time.Second))
	}
	printSection(w, func(w io.Writer) {
		fmt.Fprintln(w, "WORKSPACE\tGUARANTEE\tPOSSIBLE\tIN USE\tSINCE\tCAUSE")
		for _, g := range r.Guarantees {
			since, cause := "-", "-"
			if g.Possible < g.Shape.Copies() {
				since, cause = g.Since.Format(time.TimeOnly), g.Cause
			}
			fmt.Fprintf(w, "%s\t%d within one %s\t%d of %d\t%d\t%s\t%s\n", g.Workspace, g.Shape.Accelerators, g.Shape.Adjacency, g.Possible, g.Shape.Copies(), g.InUse, since, cause)
		}
	})
}

// printExplanation prints the state of a job, the scheduler's explanation of it and its audit records.
func printExplanation(w io.Writer, x coordinator.JobExplanation) {
	j := x.Job
	printTable(w, func(w io.Writer) {
		fmt.Fprintf(w, "job\t%s\n", j.Job.Key())
		fmt.Fprintf(w, "wants\t%d tasks of %d accelerators within one %s of %s, class %s\n", j.Job.Tasks, j.Job.PerTask.Accelerators, j.Job.Adjacency, j.Job.Region, j.Job.Class)
		fmt.Fprintf(w, "state\t%s\n", describeJobState(j))
		if j.Reason != "" {
			fmt.Fprintf(w, "reason\t%s\n", j.Reason)
		}
		if x.Decision != nil {
			printSchedulerExplanation(w, *x.Decision)
		} else if x.Note != "" && j.EndedAt == nil {
			fmt.Fprintf(w, "scheduler\t%s\n", x.Note)
		}
	})
	if x.Decision != nil && len(x.Decision.History) > 0 {
		printSection(w, func(w io.Writer) {
			fmt.Fprintln(w, "TIME\tATTEMPT\tWHAT\tREASON")
			for _, r := range x.Decision.History {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", r.At.Format("15:04:05.000"), r.Attempt, r.What, r.Reason)
			}
		})
	}
	if len(x.Audit) > 0 {
		printSection(w, func(w io.Writer) { printAudit(w, x.Audit) })
	}
}

// describeJobState describes the state, result and end of a job.
func describeJobState(j coordinator.JobStatus) string {
	text := string(j.State)
	if j.Result != "" {
		text += ", " + string(j.Result)
	}
	if j.EndedAt != nil {
		text += fmt.Sprintf(" at %s, %v after acceptance", j.EndedAt.Format(time.TimeOnly), j.EndedAt.Sub(j.Accepted).Round(time.Second))
	}
	return text
}

// printSchedulerExplanation prints the rows of the scheduler's explanation of a job: its state, what blocks it, the
// facts about it, what would help and the estimated start.
func printSchedulerExplanation(w io.Writer, d scheduler.Explanation) {
	capacity := "on borrowed capacity"
	if d.Guaranteed {
		capacity = "on the guarantee"
	}
	switch d.State {
	case scheduler.StateWaiting, scheduler.StateEnded:
		fmt.Fprintf(w, "scheduler\t%s after %d attempts\n", d.State, d.Attempt)
	default:
		fmt.Fprintf(w, "scheduler\t%s, attempt %d, %s\n", d.State, d.Attempt, capacity)
	}
	if d.Blocker != "" {
		fmt.Fprintf(w, "blocked by\t%s\n", d.Blocker)
	}
	for _, f := range d.Facts {
		fmt.Fprintf(w, "fact\t%s\n", strings.TrimSpace(fmt.Sprintf("%s: %g %s", f.Name, f.Value, f.Unit)))
	}
	for _, r := range d.Remedies {
		fmt.Fprintf(w, "would help\t%s\n", r)
	}
	switch {
	case !d.EstimatedStart.IsZero():
		fmt.Fprintf(w, "estimated start\t%s, by %s\n", d.EstimatedStart.Format(time.RFC3339), d.Estimate)
	case d.Estimate != "":
		fmt.Fprintf(w, "estimated start\t%s\n", d.Estimate)
	}
}

func printAudit(w io.Writer, records []recorder.AuditRecord) {
	fmt.Fprintln(w, "TIME\tSUBJECT\tACTION\tREASON\tBY")
	for _, r := range records {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.At.Format("15:04:05.000"), r.Subject, r.Action, r.Reason, r.By)
	}
}
