package demonstrator

import (
	"slices"
	"strings"
	"time"

	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

func (r *run) runsOf(request descriptor.Request) (started, finished int) {
	for _, m := range r.machines {
		for _, n := range m.endpoint.Stats().Runs {
			if n.Workspace == request.Workspace && n.Request == request.ID {
				started += n.Count
				finished += n.Finished
			}
		}
	}
	return started, finished
}

// count compares what callers were told with what the stand-ins saw.
func (r *run) count(out, in time.Time) *Report {
	report := &Report{CompletionSeconds: map[string]float64{}}
	for _, s := range r.requests {
		r.countRequest(report, s)
	}
	runs := r.Ledger.Runs()
	r.countJobs(report, runs)
	for _, run := range faker.StartsIn(runs, removedDomain, out.Add(startBound)) {
		if run.StartedAt.Before(in) {
			report.StartsInRemovedDomain++
		}
	}
	report.StartsInRemovedDomain += r.lateRequests(out.Add(startBound), in)
	report.Lost = report.Accepted - report.Completed
	for class, list := range r.elapsed {
		slices.Sort(list)
		report.CompletionSeconds[class] = list[len(list)/2]
	}
	return report
}

func (r *run) countRequest(report *Report, s sentRequest) {
	started, finished := r.runsOf(s.request)
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
	if s.result == descriptor.ResultDone && s.whole && finished > 0 {
		report.Completed++
		return
	}
	r.say("request %s: result %q, whole answer %v, %d runs, %d finished", s.request.ID, s.result, s.whole, started, finished)
}

func (r *run) countJobs(report *Report, runs []faker.Run) {
	done := map[descriptor.JobKey]map[int]bool{}
	for _, n := range runs {
		if n.State != faker.TaskDone {
			continue
		}
		if done[n.Key] == nil {
			done[n.Key] = map[int]bool{}
		}
		done[n.Key][n.Index] = true
	}
	report.Accepted += len(r.jobs)
	for i, k := range r.jobs {
		tasks := []int{2, 3, 1, 4, 2, 1}[i%6]
		if len(done[k]) == tasks {
			report.Completed++
		} else {
			r.say("job %s: %d of %d tasks finished", k, len(done[k]), tasks)
		}
	}
	for _, g := range faker.PartialGangs(runs) {
		if g.Ran {
			report.PartialGangs++
		}
	}
	isOnce := func(k descriptor.JobKey) bool {
		return k.Workspace == "retouche" && slices.Contains(onceJobs, string(k.Job))
	}
	report.RanTwice += len(faker.DoubleRuns(runs, isOnce))
}

// onceJobs are the jobs of submitJobs that run at most once.
var onceJobs = []string{"job-5", "job-11", "job-17"}

// lateRequests counts requests that ran in the removed failure domain between two moments.
func (r *run) lateRequests(from, until time.Time) int {
	late := 0
	for _, m := range r.machines {
		if m.worker.Description.FailureDomain != removedDomain {
			continue
		}
		for _, n := range m.endpoint.Stats().Runs {
			if n.Last.After(from) && n.Last.Before(until) {
				late++
			}
		}
	}
	return late
}

// print writes the summary with a bar for each class.
func (r *run) print(report *Report) {
	r.say("\nmedian completion time by class")
	classes := make([]string, 0, len(report.CompletionSeconds))
	longest := 0.0
	for c, s := range report.CompletionSeconds {
		classes = append(classes, c)
		longest = max(longest, s)
	}
	slices.Sort(classes)
	const width = 40
	for _, c := range classes {
		s := report.CompletionSeconds[c]
		bar := strings.Repeat("#", max(1, int(s/longest*width)))
		r.say("  %-10s %7.3f s %s", c, s, bar)
	}
	r.say("\naccepted %d, completed %d, refused %d", report.Accepted, report.Completed, report.Refused)
	r.say("lost %d, ran twice %d, partial gangs %d, starts in removed failure domain %d, false \"not run\" %d",
		report.Lost, report.RanTwice, report.PartialGangs, report.StartsInRemovedDomain, report.FalseNotRun)
	r.say("took %.1f s", report.Seconds)
}
