package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the site file beaulieu-sur-mesure.
const (
	maxHold   = 10 * time.Second
	stopGrace = 900 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// run is one run of a task on a life of a worker.
type run struct {
	task         string
	number       int
	worker, life string
	start, end   time.Time
	how          string
	need         int
	runTime      time.Duration
	stopAt       time.Time
}

// history holds all runs of all workers, and what the tasks of each job need.
type history struct {
	mu       sync.Mutex
	runs     []*run
	runTimes map[string]time.Duration
	gpus     map[string]int
}

func (h *history) addJob(id string, gpu int, runTime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gpus[id], h.runTimes[id] = gpu, runTime
}

// runsOf returns copies of the runs of a job.
func (h *history) runsOf(job string) []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []run
	for _, r := range h.runs {
		if strings.HasPrefix(r.task, job+".") {
			found = append(found, *r)
		}
	}
	return found
}

// overlap returns two runs of one task that were at work at the same time, each on a worker that was up.
func (h *history) overlap(now time.Time) (a, b *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	byTask := map[string][]*run{}
	for _, r := range h.runs {
		for _, o := range byTask[r.task] {
			oEnd := o.end
			if oEnd.IsZero() {
				oEnd = now
			}
			if r.start.Before(oEnd) {
				return o, r
			}
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	return nil, nil
}

// worker is the stand-in of the worker of one machine. Its process may end and start again, as a new life.
type worker struct {
	rec     *recorder
	history *history
	name    string
	rack    string
	zone    string
	// app is the address at which it listens, and control the address to which it sends heartbeats.
	app, control string

	mu sync.Mutex
	// The fields of one life.
	up      bool
	id      string
	born    int64
	started time.Time
	seq     int64
	state   string
	// left is true once the life has sent its Leave; it then sends no more heartbeats.
	left bool
	// leavesAt is when a draining worker leaves at the earliest.
	leavesAt time.Time
	fence    int64
	leaseEnd int64
	running  map[string]*run
	highest  map[string]int
	ended    []endRow
	endSeq   int64
	server   *http.Server
	// onAck is called, without the lock, when an end has been taken note of.
	onAck func(task string, number int)
}

type endRow struct {
	seq int64
	run *run
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// live begins a life under an id.
func (w *worker) live(id string) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", w.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		panic(cannotRun("worker cannot listen: " + err.Error()))
	}
	w.mu.Lock()
	w.up, w.id, w.started, w.seq, w.state, w.left = true, id, time.Now(), 0, "ready", false
	w.born = w.started.UnixMilli()
	w.fence, w.leaseEnd, w.endSeq, w.ended = 0, 0, 0, nil
	w.running, w.highest = map[string]*run{}, map[string]int{}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	server := w.server
	w.mu.Unlock()
	w.rec.add("worker %s: life %s, born %d, begins", w.name, id, w.born)
	go func() { _ = server.Serve(l) }()
	go w.advanceLoop(w.born)
}

// end ends the life: everything that runs on it terminates.
func (w *worker) end(how string) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	now := time.Now()
	for _, r := range w.running {
		w.finish(r, how, now)
	}
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.rec.add("worker %s: life %s has ended", w.name, w.id)
}

// finish ends a run. The caller holds w.mu.
func (w *worker) finish(r *run, how string, now time.Time) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.history.mu.Lock()
	r.end, r.how = now, how
	w.history.mu.Unlock()
	w.endSeq++
	w.ended = append(w.ended, endRow{w.endSeq, r})
	w.rec.add("worker %s: run %d of %s ended: %s", w.name, r.number, r.task, how)
}

// advanceLoop advances the runs of one life every 5 ms.
func (w *worker) advanceLoop(born int64) {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.born != born {
			w.mu.Unlock()
			return
		}
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

func (w *worker) advance(now time.Time) {
	lapsed := w.clock() > w.leaseEnd
	for _, r := range w.running {
		switch {
		case lapsed:
			w.finish(r, "lapsed", now)
		case now.Sub(r.start) >= r.runTime:
			w.finish(r, "done", now)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(r, "stopped", now)
		}
	}
}

// beatBody returns the body of the next heartbeat.
func (w *worker) beatBody() (string, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	b := map[string]any{
		"service": "mesure", "address": w.app, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": 8}, "labels": []string{"a", w.rack}, "clock_ms": w.clock(),
		"seq": w.seq, "born": w.born,
	}
	if w.state == "draining" {
		b["drain_remaining_ms"] = max(0, time.Until(w.leavesAt).Milliseconds())
	}
	data, _ := json.Marshal(b)
	return fmt.Sprintf("worker %s: heartbeat seq %d, born %d, %s", w.name, w.seq, w.born, w.state), data
}

// beat sends one heartbeat and reports whether it was acknowledged within a second.
func (w *worker) beat() bool {
	text, data := w.beatBody()
	ok := w.call("/v1/Instances.Heartbeat/"+w.id, data)
	w.rec.add("%s: acknowledged %v", text, ok)
	return ok
}

// call makes a call at the control address and reports whether it was answered with 2xx within a second.
func (w *worker) call(path string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+w.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// beatLoop sends heartbeats for the life with the given birth until it ends.
func (w *worker) beatLoop() {
	w.mu.Lock()
	born := w.born
	w.mu.Unlock()
	for {
		w.mu.Lock()
		live := w.up && w.born == born && !w.left
		w.mu.Unlock()
		if !live {
			return
		}
		w.beat()
		time.Sleep(heartbeat)
	}
}

// leave sends the life's Leave, which has no body, or with hold lets it arrive that much later.
func (w *worker) leave(hold time.Duration) {
	w.mu.Lock()
	w.left = true
	id, what := w.id, fmt.Sprintf("worker %s: Leave of the life born %d", w.name, w.born)
	w.mu.Unlock()
	if hold > 0 {
		w.lateCall("/v1/Instances.Leave/"+id, nil, hold, what)
		return
	}
	w.rec.add("%s: acknowledged %v", what, w.call("/v1/Instances.Leave/"+id, nil))
}

func (w *worker) setDraining(leavesIn time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state, w.leavesAt = "draining", time.Now().Add(leavesIn)
}

type order struct {
	Task     string `json:"task"`
	RunID    int    `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	SeenUpto int64  `json:"seen_upto"`
	WaitMS   int64  `json:"wait_ms"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.advance(time.Now())
	status, answer := http.StatusOK, map[string]any{"clock_ms": w.clock()}
	refuse := func(reason string) { status, answer["reason"] = http.StatusConflict, reason }
	var acked []*run
	switch {
	case o.Fence < w.fence:
		refuse("fence")
	case r.URL.Path == "/v1/run-start":
		w.fence = o.Fence
		w.startRun(o, refuse)
	case r.URL.Path == "/v1/run-stop":
		w.fence = o.Fence
		if x := w.running[o.Task]; x != nil && x.number <= o.RunID {
			if x.stopAt.IsZero() {
				x.stopAt = time.Now().Add(stopGrace / 3)
			}
		} else {
			w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
		}
	case r.URL.Path == "/v1/hold":
		w.fence = o.Fence
		w.extend(o.Deadline)
		for len(w.ended) > 0 && w.ended[0].seq <= o.SeenUpto {
			acked = append(acked, w.ended[0].run)
			w.ended = w.ended[1:]
		}
	default:
		status = http.StatusNotFound
	}
	born, onAck := w.born, w.onAck
	w.mu.Unlock()
	for _, x := range acked {
		w.rec.add("worker %s: end of run %d of %s (%s) is taken note of", w.name, x.number, x.task, x.how)
		if onAck != nil {
			onAck(x.task, x.number)
		}
	}
	if r.URL.Path == "/v1/hold" && status == http.StatusOK {
		until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
		for {
			w.mu.Lock()
			if !w.up || w.born != born {
				w.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			if len(w.ended) > 0 || !time.Now().Before(until) {
				break
			}
			w.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
		running, ended := [][]any{}, [][]any{}
		for _, x := range w.running {
			running = append(running, []any{x.task, x.number, "", min(99, int(100*time.Since(x.start)/x.runTime)), 0})
		}
		sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
		for _, e := range w.ended[:min(len(w.ended), 500)] {
			ended = append(ended, []any{e.seq, e.run.task, e.run.number, e.run.how, ""})
		}
		answer = map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "ended": ended}
		w.mu.Unlock()
	}
	data, _ := json.Marshal(answer)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
}

// startRun starts a run if the order allows it. The caller holds w.mu.
func (w *worker) startRun(o order, refuse func(string)) {
	job, _, _ := strings.Cut(o.Task, ".")
	w.history.mu.Lock()
	gpu, known := w.history.gpus[job]
	runTime := w.history.runTimes[job]
	w.history.mu.Unlock()
	if !known {
		panic(http.ErrAbortHandler)
	}
	if w.clock() > o.Deadline {
		refuse("late")
		return
	}
	x := w.running[o.Task]
	if x != nil && x.number == o.RunID {
		w.extend(o.Deadline)
		return
	}
	used := 0
	for _, y := range w.running {
		used += y.need
	}
	switch {
	case x != nil || o.RunID <= w.highest[o.Task]:
		w.extend(o.Deadline)
		refuse("old")
		return
	case used+gpu > 8:
		w.extend(o.Deadline)
		refuse("room")
		return
	}
	w.extend(o.Deadline)
	x = &run{task: o.Task, number: o.RunID, worker: w.name, life: w.id, start: time.Now(), need: gpu, runTime: runTime}
	w.running[o.Task] = x
	w.history.mu.Lock()
	w.history.runs = append(w.history.runs, x)
	w.history.mu.Unlock()
	w.rec.add("worker %s (%s, %s): run %d of %s starts", w.name, w.id, w.state, o.RunID, o.Task)
}
