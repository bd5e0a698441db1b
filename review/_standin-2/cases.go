package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

var atelier = []tenant{{"atelier", 8}, {"couture", 3}}

// lateLeave: a worker leaves and starts again under its id; its Leave arrives after the new life has registered.
func lateLeave(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	w := d.workers[0]
	// Planned end: the worker drains, leaves and starts again.
	w.setDraining(2500 * time.Millisecond)
	if !w.beat() {
		panic(cannotRun("draining not acknowledged"))
	}
	time.Sleep(3 * time.Second)
	hold := time.Duration(0)
	if trouble {
		hold = 4500 * time.Millisecond
	}
	w.leave(hold)
	// Without an acknowledgement it ends anyway, a little later.
	time.Sleep(500 * time.Millisecond)
	w.end("stopped")
	time.Sleep(time.Second)
	w.live(w.id)
	go w.beatLoop()
	// The late call is delivered 2 s after the new life began. Then all is calm for longer than contact_ms.
	time.Sleep(9 * time.Second)
	id := newID()
	d.submit(0, 0, "atelier", id, 1, 8, 2*time.Second, "")
	return d.watchLost(id, 30*time.Second)
}

// watchLost asks for the state of a job, the last of the traffic, and judges LOST: finish_s after the end of the traffic,
// nothing of it runs for 3 s, while all workers are up and idle.
func (d *deployment) watchLost(id string, limit time.Duration) (bool, string) {
	const finish = 14 * time.Second
	submitted := time.Now()
	last := ""
	var idleSince time.Time
	for n := 0; time.Since(submitted) < limit; n++ {
		if n%5 == 0 {
			if a := d.client(http.MethodGet, n/5%len(d.entries), 0, "atelier", id, ""); a.state != last {
				last = a.state
				d.rec.add("client: GET %s: %s", id, last)
			}
		}
		running := false
		for _, r := range d.history.runsOf(id) {
			running = running || r.end.IsZero()
		}
		now := time.Now()
		switch {
		case last == "done":
			return false, fmt.Sprintf("the job was done %s after it was handed in", seconds(time.Since(submitted)))
		case running || now.Sub(submitted) < finish:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		}
		time.Sleep(100 * time.Millisecond)
	}
	runs := len(d.history.runsOf(id))
	d.noteLog("start refused")
	if !idleSince.IsZero() && time.Since(idleSince) > 3*time.Second {
		return true, fmt.Sprintf("LOST: %s after the job was accepted its state is %q; it has had %d runs, and nothing of it has run for the last %s, though three workers of 8 GPUs are up, idle and in touch",
			seconds(time.Since(submitted)), last, runs, seconds(time.Since(idleSince)))
	}
	return false, fmt.Sprintf("the job is %q after %s, with %d runs", last, seconds(limit), runs)
}

// noteLog notes in the record how often the agents logged a message. It is for the reader, and judges nothing.
func (d *deployment) noteLog(message string) {
	for _, p := range d.agents {
		data, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		count, last := 0, ""
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, message) {
				count++
				last = strings.TrimSpace(line)
			}
		}
		if count > 0 {
			d.rec.add("log of %s: %d lines with %q, the last: %s", p.name, count, message, last)
		}
	}
}

// cancelBeforeWrite: an entry is killed while the store has its write of a job and has not answered; the client cancels
// the job at another entry.
func cancelBeforeWrite(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	leads := d.leader()
	first, second := (leads+1)%3, (leads+2)%3
	d.rec.add("%s leads; the client hands in at %s and cancels at %s", d.entries[leads].name, d.entries[first].name, d.entries[second].name)
	id := newID()
	d.history.addJob(id, 1, 30*time.Second)
	taken := make(chan struct{}, 1)
	if trouble {
		var caught bool
		d.hookMu.Lock()
		d.storeHook = func(i int, _ http.ResponseWriter, r *http.Request, body []byte) bool {
			if i != first || r.URL.Path != "/v1/kv-txn" {
				return false
			}
			d.hookMu.Lock()
			again := caught
			caught = true
			d.hookMu.Unlock()
			if again {
				panic(http.ErrAbortHandler)
			}
			d.rec.add("store: a write of %s arrives and gets no answer", d.entries[first].name)
			taken <- struct{}{}
			time.AfterFunc(5500*time.Millisecond, func() {
				d.rec.add("store: the write that got no answer is carried out: %d", d.carryOut("/v1/kv-txn", body))
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		d.hookMu.Unlock()
		go func() {
			<-taken
			time.Sleep(200 * time.Millisecond)
			d.entries[first].kill()
			d.rec.add("platform: %s is killed", d.entries[first].name)
			d.hookMu.Lock()
			d.storeHook = nil
			d.hookMu.Unlock()
			time.Sleep(time.Second)
			d.entries[first].start()
			d.rec.add("platform: %s is started again", d.entries[first].name)
		}()
	}
	d.client(http.MethodPost, first, 0, "atelier", id, jobBody(1, 1, 30*time.Second, ""))
	var acked time.Time
	for range 10 {
		a := d.client(http.MethodDelete, second, 0, "atelier", id, "")
		if a.status/100 == 2 || a.status == http.StatusGone {
			acked = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if acked.IsZero() {
		panic(cannotRun("the cancelling was not acknowledged"))
	}
	last := ""
	for time.Since(acked) < 15*time.Second {
		if a := d.client(http.MethodGet, second, 0, "atelier", id, ""); a.state != last {
			last = a.state
			d.rec.add("client: GET %s: %s", id, last)
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, r := range d.history.runsOf(id) {
		if late := r.start.Sub(acked); late > 3*time.Second {
			return true, fmt.Sprintf("UNASKED: run %d of %s was started %s after the acknowledgement of the job's cancelling; cancel_ms is 3 s", r.number, r.task, seconds(late))
		}
		if r.end.IsZero() || r.end.Sub(acked) > 3900*time.Millisecond {
			return true, fmt.Sprintf("UNASKED: run %d of %s runs on %s after the acknowledgement of the job's cancelling", r.number, r.task, seconds(time.Since(acked)))
		}
	}
	return false, "no task of the cancelled job was started later than cancel_ms"
}

// lateReport: a worker crashes and a new one starts in its place, while one connection between the leader and its agent stalls for a second.
func lateReport(d *deployment) (bool, string) {
	var links []*link
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, func(i int, address string) string {
		k := newLink(d.ip(2, i)+":7100", address)
		links = append(links, k)
		return k.listener.Addr().String()
	})
	w, k := d.workers[0], links[0]
	for round := range 8 {
		connection := <-k.asked
		crashed := time.Now()
		if trouble {
			k.stall(connection, crashed.Add(time.Second))
			d.rec.add("connection %d between the leader and the agent of w1 stalls for a second", connection)
		}
		w.end("lost with the worker")
		time.Sleep(time.Until(crashed.Add(550 * time.Millisecond)))
		w.live(fmt.Sprintf("i-1-%d", round))
		go w.beatLoop()
		time.Sleep(time.Until(crashed.Add(600 * time.Millisecond)))
		id := newID()
		d.submit(round%3, 0, "atelier", id, 1, 1, 3*time.Second, `,"data_rack":"r1-1"`)
		time.Sleep(7 * time.Second)
		if a, b := d.history.overlap(time.Now()); a != nil {
			return true, fmt.Sprintf("TWICE: run %d of %s on %s from %s to %s, and run %d on %s from %s to %s", a.number, a.task, a.worker, d.rec.at(a.start), d.rec.at(a.end), b.number, b.worker, d.rec.at(b.start), d.rec.at(b.end))
		}
	}
	return false, "no task had two runs at the same time"
}

// silentStop: the open connections to the workers go silent; a job that is cancelled later runs on.
func silentStop(d *deployment) (bool, string) {
	d.withWorkerLinks = true
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	long, wide := newID(), newID()
	d.submit(0, 1, "atelier", long, 1, 1, 80*time.Second, `,"data_rack":"r1-1"`)
	d.submit(1, 1, "atelier", wide, 7, 1, 2*time.Second, `,"data_rack":"r1-1"`)
	time.Sleep(4 * time.Second)
	runs := d.history.runsOf(long)
	if len(runs) != 1 || !runs[0].end.IsZero() {
		panic(cannotRun("the long job does not run"))
	}
	if trouble {
		for i, k := range d.workerLinks {
			d.rec.add("the %d open connections between the agent and the worker of w%d go silent; new ones work", k.silence(), i+1)
		}
	}
	// Longer than contact_ms, so that all machines are in touch again.
	time.Sleep(6 * time.Second)
	var acked time.Time
	for acked.IsZero() {
		if a := d.client(http.MethodDelete, 0, 1, "atelier", long, ""); a.status == http.StatusOK {
			acked = time.Now()
		}
	}
	time.Sleep(15 * time.Second)
	d.noteLog("stop sent")
	for _, r := range d.history.runsOf(long) {
		switch {
		case r.end.IsZero():
			return true, fmt.Sprintf("UNASKED: run %d of %s still runs %s after the acknowledgement of the job's cancelling; cancel_ms and stop_grace_ms are 3.9 s", r.number, r.task, seconds(time.Since(acked)))
		case r.end.Sub(acked) > 3900*time.Millisecond:
			return true, fmt.Sprintf("UNASKED: run %d of %s ran on until %s after the acknowledgement of the job's cancelling; cancel_ms and stop_grace_ms are 3.9 s", r.number, r.task, seconds(r.end.Sub(acked)))
		}
	}
	return false, "the task of the cancelled job was gone in time"
}
