package demonstrator

import (
	"slices"
	"strings"
	"time"

	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

// requestRuns returns how often the endpoint stand-ins started a request and how often they finished it.
func (r *demoRun) requestRuns(request descriptor.Request) (started, finished int) {
	for _, v := range r.vms {
		for _, n := range v.endpoint.Stats().Runs {
			if n.Workspace == request.Workspace && n.Request == request.ID {
				started += n.Count
				finished += n.Finished
			}
		}
	}
	return started, finished
}

// buildReport compares the results given to callers with the runs recorded by the stand-ins. The removal of
// removedDomain was accepted at removedAt and its return was requested at returnedAt.
func (r *demoRun) buildReport(removedAt, returnedAt time.Time) *Report {
	report := &Report{CompletionSeconds: map[string]float64{}}
	for _, s := range r.requests {
		r.countRequest(report, s)
	}
	runs := r.Ledger.Runs()
	r.countJobs(report, runs)
	for _, taskRun := range faker.StartsInFailureDomain(runs, removedDomain, removedAt.Add(startGracePeriod)) {
		if taskRun.StartedAt.Before(returnedAt) {
			report.StartsInRemovedDomain++
		}
	}
	report.StartsInRemovedDomain += r.countRequestsInRemovedDomain(removedAt.Add(startGracePeriod), returnedAt)
	report.Lost = report.Accepted - report.Completed
	for class, times := range r.completionTimes {
		slices.Sort(times)
		report.CompletionSeconds[class] = times[len(times)/2]
	}
	return report
}

// countRequest adds a request to the counts of the report and prints it if it is lost.
func (r *demoRun) countRequest(report *Report, s sentRequest) {
	started, finished := r.requestRuns(s.request)
	// Nesting is the only non-idempotent class, see configuration.
	if s.class == "Nesting" && started > 1 {
		report.RanTwice++
	}
	if s.result == descriptor.ResultNotRun {
		report.Refused++
		if started > 0 {
			report.FalseNotRun++
		}
		return
	}
	report.Accepted++
	if s.result == descriptor.ResultDone && s.bodyMatches && finished > 0 {
		report.Completed++
		return
	}
	r.printf("request %s: result %q, whole answer %v, %d runs, %d finished", s.request.ID, s.result, s.bodyMatches, started, finished)
}

// countJobs adds the jobs and the violations among their task runs to the report. A job is completed if each
// of its tasks has a finished run.
func (r *demoRun) countJobs(report *Report, runs []faker.Run) {
	finishedTasks := map[descriptor.JobKey]map[int]bool{}
	for _, taskRun := range runs {
		if taskRun.State != faker.TaskDone {
			continue
		}
		if finishedTasks[taskRun.Key] == nil {
			finishedTasks[taskRun.Key] = map[int]bool{}
		}
		finishedTasks[taskRun.Key][taskRun.Index] = true
	}
	report.Accepted += len(r.jobs)
	for i, k := range r.jobs {
		// The literal repeats the task counts of the templates in submitJobs.
		taskCount := []int{2, 3, 1, 4, 2, 1}[i%6]
		if len(finishedTasks[k]) == taskCount {
			report.Completed++
		} else {
			r.printf("job %s: %d of %d tasks finished", k, len(finishedTasks[k]), taskCount)
		}
	}
	for _, g := range faker.PartialGangs(runs) {
		if g.Ran {
			report.PartialGangs++
		}
	}
	isNonIdempotent := func(k descriptor.JobKey) bool {
		return k.Workspace == "retouche" && slices.Contains(nonIdempotentJobIDs, string(k.Job))
	}
	report.RanTwice += len(faker.DoubleRuns(runs, isNonIdempotent))
}

// nonIdempotentJobIDs are the ids of the non-idempotent jobs that submitJobs submits.
var nonIdempotentJobIDs = []string{"job-5", "job-11", "job-17"}

// countRequestsInRemovedDomain counts, over the endpoints in removedDomain, the requests whose last run at the
// endpoint started between from and until.
func (r *demoRun) countRequestsInRemovedDomain(from, until time.Time) int {
	count := 0
	for _, v := range r.vms {
		if v.worker.Description.FailureDomain != removedDomain {
			continue
		}
		for _, n := range v.endpoint.Stats().Runs {
			if n.Last.After(from) && n.Last.Before(until) {
				count++
			}
		}
	}
	return count
}

// printSummary prints a bar chart of the median completion times by class, then the counts.
func (r *demoRun) printSummary(report *Report) {
	r.printf("\nmedian completion time by class")
	classes := make([]string, 0, len(report.CompletionSeconds))
	longestSeconds := 0.0
	for c, s := range report.CompletionSeconds {
		classes = append(classes, c)
		longestSeconds = max(longestSeconds, s)
	}
	slices.Sort(classes)
	const maxBarLength = 40
	for _, c := range classes {
		s := report.CompletionSeconds[c]
		bar := strings.Repeat("#", max(1, int(s/longestSeconds*maxBarLength)))
		r.printf("  %-10s %7.3f s %s", c, s, bar)
	}
	r.printf("\naccepted %d, completed %d, refused %d", report.Accepted, report.Completed, report.Refused)
	r.printf("lost %d, ran twice %d, partial gangs %d, starts in removed failure domain %d, false \"not run\" %d",
		report.Lost, report.RanTwice, report.PartialGangs, report.StartsInRemovedDomain, report.FalseNotRun)
	r.printf("took %.1f s", report.Seconds)
}
