package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

const (
	// callTimeout is the time that a caller waits for an answer.
	callTimeout = 3 * time.Second
	// maxSubmitTries limits the tries to submit a job. The limit of each job is drawn at random up to maxSubmitTries, so
	// that callers also give up on jobs that were only refused.
	maxSubmitTries = 12
	// retryPause is the pause after a try whose outcome is unknown: without an answer, or with status 502 or 504.
	retryPause = 100 * time.Millisecond
	// meanJobPause is the mean pause between two jobs of a caller.
	meanJobPause = 250 * time.Millisecond
	// pollInterval is the pause between two rounds of polls after the load has ended. During the load, a round follows
	// each submission.
	pollInterval = 150 * time.Millisecond
	// maxSettleTime is the longest time after the last fault that an accepted job may take to end. It covers the leases
	// of attempts on workers that were cut off, the platform's bound of 14 s, and the run time of the job on a full fleet.
	maxSettleTime = 40 * time.Second
	// cancelShare is the share of jobs that the caller cancels if they were accepted. The cancellation of such a job is due
	// at most maxCancelDelay after the job was created.
	cancelShare    = 0.15
	maxCancelDelay = 2 * time.Second
	// failureShare is the share of jobs whose tasks always fail.
	failureShare = 0.1
)

const (
	queueHost = "soak.example"
	callerKey = "key-soak"
	// queuePrefixFormat is the format of a queue's path prefix. There are two queues; queue 0 has the higher priority.
	queuePrefixFormat = "/jobs-%d/"
)

// caller submits jobs one after the other, cancels some of them and polls their states. Its methods are called by one
// goroutine.
type caller struct {
	deployment *deployment
	random     *rand.Rand
	// shapes is the random source of reshape. It is another one than random, so that known seeds keep their jobs.
	shapes *rand.Rand
	index  int
	// jobCount is the number of jobs created so far. It makes the ids of the caller's jobs unique.
	jobCount int
	// clients holds an HTTP client with kept-alive connections for each entry, in the order of deployment.entries.
	clients []*http.Client
}

// submission is a job and what its caller knows about it.
type submission struct {
	job   *emulator.Job
	queue int
	// acceptedAt is the time of the successful answer to the submission, or zero if there was none.
	acceptedAt time.Time
	// refused is true if every try so far was refused or failed before a connection was made, so that the job cannot have
	// been accepted.
	refused bool
	// cancelAt is the time at which the caller cancels the job if it was accepted. Zero means never.
	cancelAt time.Time
	// cancelRequested is set before the first try to cancel the job. cancelledAt is the time at which a try was answered
	// with status 200, or zero.
	cancelledAt     time.Time
	cancelRequested bool
	// state is the state that the last successful poll returned, or empty.
	state string
}

// newCaller returns a caller that uses the random source r. The index distinguishes its job ids from those of other
// callers.
func newCaller(dp *deployment, r *rand.Rand, index int) *caller {
	c := &caller{deployment: dp, random: r, shapes: rand.New(rand.NewPCG(dp.Seed, uint64(index)+1000)), index: index}
	for range dp.entries {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext, MaxIdleConnsPerHost: 4,
		}})
	}
	return c
}

// run submits jobs until loadCtx ends, then polls the unfinished ones until all have ended or maxSettleTime has passed
// since the end of the last possible fault.
func (c *caller) run(loadCtx, ctx context.Context) {
	var unfinished []*submission
	for loadCtx.Err() == nil {
		s := c.newJob()
		c.deployment.checker.addSubmission(s)
		if c.submit(ctx, s) {
			unfinished = append(unfinished, s)
		}
		unfinished = c.cancelAndPoll(ctx, unfinished)
		pause(loadCtx, time.Duration(c.random.ExpFloat64()*float64(meanJobPause)))
	}
	c.settle(ctx, unfinished, time.Now().Add(maxFaultTime+maxSettleTime))
}

// settle polls jobs until all have ended or the deadline has passed.
func (c *caller) settle(ctx context.Context, unfinished []*submission, deadline time.Time) {
	for len(unfinished) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		unfinished = c.cancelAndPoll(ctx, unfinished)
		pause(ctx, pollInterval)
	}
}

// close closes the connections that are not in use.
func (c *caller) close() {
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// newJob creates a random job with a gang, a step of independent tasks, or two steps of which the second depends on the
// first, and adds it to the fleet.
func (c *caller) newJob() *submission {
	c.jobCount++
	id := descriptor.JobID(fmt.Sprintf("%08x%08x", c.index+1, c.jobCount))
	workload := descriptor.Workload{ID: id, Spec: "spec-" + string(id), MaxAttempts: maxAttempts}
	size := descriptor.Capacity{Cores: 2000, Memory: 4096, Accelerators: descriptor.Accelerators(1 << c.random.IntN(4))}
	job := &emulator.Job{Workload: workload, Fails: c.random.Float64() < failureShare}
	addStep := func(s descriptor.Step) {
		runTime := time.Duration(100+c.random.IntN(1400)) * time.Millisecond
		s.RunTime = time.Duration(float64(runTime) * (0.5 + c.random.Float64()))
		job.Steps, job.RunTimes = append(job.Steps, s), append(job.RunTimes, runTime)
	}
	switch c.random.IntN(3) {
	case 0:
		addStep(descriptor.Step{Count: 2 + c.random.IntN(2), Size: size, Gang: true, SameRack: c.random.IntN(2) == 0})
	case 1:
		addStep(descriptor.Step{Count: 1 + c.random.IntN(6), Size: descriptor.Capacity{Cores: 1000, Memory: 1024, Accelerators: 1}, SavesProgress: true})
	default:
		addStep(descriptor.Step{Count: 2, Size: size})
		addStep(descriptor.Step{Count: 1, Size: size, After: []int{0}})
	}
	c.reshape(job)
	job.Tail = c.deployment.hardLoad.jobTail()
	c.deployment.fleet.AddJob(job)
	s := &submission{job: job, queue: c.random.IntN(2), refused: true}
	if c.random.Float64() < cancelShare {
		s.cancelAt = time.Now().Add(time.Duration(c.random.Float64() * float64(maxCancelDelay)))
	}
	return s
}

// manyTasks is the number of tasks of a wide job. A worker lists 500 ended ones at a time.
const manyTasks = 700

// reshape turns some jobs into ones that are at a limit: their tasks end before a lost answer to their start is noticed,
// run at several times that are no whole seconds, or are more than a worker lists at a time.
func (c *caller) reshape(j *emulator.Job) {
	step := descriptor.Step{Count: 1, Size: descriptor.Capacity{Cores: 50, Memory: 64}}
	milliseconds := func(n int) time.Duration { return time.Duration(c.shapes.IntN(n)) * time.Millisecond }
	runTime := 20*time.Millisecond + milliseconds(200)
	switch n := c.shapes.IntN(40); {
	case n < 10:
		step.Count += c.shapes.IntN(3)
		j.Fails = c.shapes.IntN(2) == 0
	case n < 14:
		j.Times, j.FirstDue, j.Interval = 1+c.shapes.IntN(3), time.Now().Add(milliseconds(3000)), milliseconds(1500)
	case n < 15:
		step.Count, j.Fails = manyTasks, false
		runTime += milliseconds(1000)
	default:
		return
	}
	step.RunTime = runTime
	j.Steps, j.RunTimes = []descriptor.Step{step}, []time.Duration{runTime}
}

// submit sends a job until it is accepted, gets an unexpected answer or runs out of tries. Refusals are retried. It
// reports whether the job may have been accepted; after an unexpected answer, which is a violation, it returns false.
func (c *caller) submit(ctx context.Context, s *submission) bool {
	body, err := emulator.Submission(&s.job.Workload)
	if err != nil {
		panic(err)
	}
	for try := range 1 + c.random.IntN(maxSubmitTries) {
		a := c.call(ctx, http.MethodPost, s, body)
		switch {
		case a.status == http.StatusOK:
			s.acceptedAt, s.refused = time.Now(), false
			return true
		case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
			pause(ctx, min(a.retryAfter, time.Second))
		case a.status == http.StatusGatewayTimeout || a.status == http.StatusBadGateway || a.err != nil:
			// Without a connection, the entry cannot have received the job.
			s.refused = s.refused && a.unsent
			pause(ctx, retryPause)
		default:
			c.deployment.checker.addViolation("try %d to submit %s was answered %d %s", try, s.job.ID, a.status, a.body)
			return false
		}
	}
	return !s.refused
}

// cancelAndPoll sends the due cancellations, polls the states of jobs and returns the jobs that have not ended.
func (c *caller) cancelAndPoll(ctx context.Context, unfinished []*submission) []*submission {
	var remaining []*submission
	for _, s := range unfinished {
		if !s.cancelAt.IsZero() && time.Now().After(s.cancelAt) && !s.acceptedAt.IsZero() {
			s.cancelRequested = true
		}
		if s.cancelRequested && s.cancelledAt.IsZero() {
			if a := c.call(ctx, http.MethodDelete, s, nil); a.status == http.StatusOK {
				s.cancelledAt = time.Now()
			}
		}
		if !c.updateState(ctx, s) {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// updateState polls the state of a job and checks it. It returns true if the job needs no further polls: it has ended,
// does not exist, or a successful answer held no readable state. After a failed poll, it returns false.
func (c *caller) updateState(ctx context.Context, s *submission) bool {
	a := c.call(ctx, http.MethodGet, s, nil)
	switch a.status {
	case http.StatusOK:
	case http.StatusGone:
		if !s.acceptedAt.IsZero() {
			c.deployment.checker.addViolation("accepted job %s is said not to exist", s.job.ID)
			return true
		}
		// The submission got no definite answer, and the job was not accepted.
		return true
	default:
		return false
	}
	state, err := emulator.DecodeState([]byte(a.body))
	if err != nil {
		c.deployment.checker.addViolation("state of %s is not readable: %q: %v", s.job.ID, a.body, err)
		return true
	}
	s.state = state
	switch state {
	case "done":
		if !c.deployment.fleet.Done(s.job.ID) {
			c.deployment.checker.addViolation("job %s is shown as done, and a task has not ended so", s.job.ID)
		}
	case "failed":
	case "cancelled":
		if !s.cancelRequested {
			c.deployment.checker.addViolation("job %s is shown as cancelled by nobody", s.job.ID)
		}
	default:
		return false
	}
	return true
}

// answer is the outcome of one call: a complete answer, or err if there was none.
type answer struct {
	status     int
	body       string
	retryAfter time.Duration
	err        error
	// unsent is true if no connection was made, so that nothing was sent.
	unsent bool
}

// call makes one call to a random entry. It passes a call without a complete answer to the checker.
func (c *caller) call(ctx context.Context, method string, s *submission, body []byte) answer {
	index := c.random.IntN(len(c.deployment.entries))
	e := c.deployment.entries[index]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connected := false
	var sentAt time.Time
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected = true },
		WroteRequest: func(httptrace.WroteRequestInfo) { sentAt = time.Now() },
	})
	url := "http://" + e.callerRelay.address() + fmt.Sprintf(queuePrefixFormat, s.queue) + string(s.job.ID)
	request, err := http.NewRequestWithContext(tracedCtx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	startedAt := time.Now()
	response, err := c.clients[index].Do(request)
	if err == nil {
		defer response.Body.Close()
		var data []byte
		if data, err = io.ReadAll(response.Body); err == nil {
			retryAfter, _ := strconv.Atoi(response.Header.Get("Retry-After"))
			return answer{status: response.StatusCode, body: string(data), retryAfter: time.Duration(retryAfter) * time.Second}
		}
	}
	c.deployment.checker.checkLostAnswer(c.deployment, e, method+" "+string(s.job.ID), startedAt, sentAt, err)
	return answer{err: err, unsent: !connected}
}
