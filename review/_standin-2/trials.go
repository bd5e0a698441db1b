package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"persimmontrail/platform/emulator"
)

// The functions of this file are trials that REPORT-2.md names, but no cases.

// guaranteeSplit: small jobs of one tenant, one on each worker, keep another tenant from its guarantee.
func guaranteeSplit(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	if trouble {
		for i := range 3 {
			d.submit(i%3, 0, "couture", newID(), 1, 1, 90*time.Second, fmt.Sprintf(`,"data_rack":"r1-%d"`, i+1))
		}
		time.Sleep(5 * time.Second)
	}
	id := newID()
	d.submit(0, 0, "atelier", id, 1, 8, 2*time.Second, "")
	accepted := time.Now()
	for time.Since(accepted) < 40*time.Second {
		if runs := d.history.runsOf(id); len(runs) > 0 {
			wait := runs[0].start.Sub(accepted)
			if wait > 3400*time.Millisecond {
				return true, "RECLAIM: the job's task began only " + seconds(wait) + " after its acknowledgement; reclaim_ms is 3.4 s"
			}
			return false, "the job's task began " + seconds(wait) + " after its acknowledgement"
		}
		time.Sleep(50 * time.Millisecond)
	}
	a := d.client(http.MethodGet, 0, 0, "atelier", id, "")
	return true, fmt.Sprintf("RECLAIM: the job's only task has not begun %s after the acknowledgement, its state is %q; reclaim_ms is 3.4 s", seconds(time.Since(accepted)), a.state)
}

// lateHeartbeat: a heartbeat that says ready arrives after the worker has reported that it drains.
func lateHeartbeat(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-2"}, atelier, nil)
	// Worker 2 is full, so that the next job waits for worker 1.
	full := newID()
	d.submit(0, 2, "atelier", full, 1, 8, 100*time.Second, `,"data_rack":"r1-2"`)
	d.await("the first job runs", 5*time.Second, func() bool { return len(d.history.runsOf(full)) == 1 })
	d.rec.add("job %s runs on worker %s", full, d.history.runsOf(full)[0].worker)
	w := d.workers[0]
	for _, x := range d.workers {
		if x.name != d.history.runsOf(full)[0].worker {
			w = x
		}
	}
	_, body := w.beatBody()
	what := "worker " + w.name + ": heartbeat that says ready"
	if trouble {
		go w.lateCall("/v1/Instances.Heartbeat/"+w.id, body, 7*time.Second, what)
	} else {
		w.rec.add("%s: acknowledged %v", what, w.call("/v1/Instances.Heartbeat/"+w.id, body))
	}
	time.Sleep(1200 * time.Millisecond)
	w.setDraining(2500 * time.Millisecond)
	if !w.beat() {
		panic(cannotRun("draining not acknowledged"))
	}
	acked := time.Now()
	next := newID()
	d.submit(0, 2, "atelier", next, 1, 8, 20*time.Second, "")
	// The worker goes on serving for a little longer than drain_ms, then leaves.
	time.Sleep(time.Until(acked.Add(9 * time.Second)))
	w.leave(0)
	w.end("lost with the worker")
	for _, r := range d.history.runsOf(next) {
		if late := r.start.Sub(acked); r.worker == w.name && late > 2500*time.Millisecond {
			return true, fmt.Sprintf("DRAIN: run %d of %s was started on %s %s after the acknowledgement that it drains; drain_ms is 2.5 s; the run %s after %s",
				r.number, r.task, w.name, seconds(late), "was "+r.how, seconds(r.end.Sub(r.start)))
		}
	}
	return false, "nothing was started on the draining worker"
}

// oddHeartbeats: heartbeats of other writers reach an agent; its worker must stay in use.
func oddHeartbeats(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	w := d.workers[0]
	send := func(id, body string) {
		w.rec.add("heartbeat of another writer for %s: %.160s: acknowledged %v", id, body, w.call("/v1/Instances.Heartbeat/"+id, []byte(body)))
	}
	if trouble {
		whole := func(service, state string, born int64, gpu int) string {
			return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"capacity":{"cpu":64000,"mem_mb":131072,"gpu":%d},"labels":["a","r1-1"],"clock_ms":1,"seq":1,"born":%d}`,
				service, w.app, w.zone, state, gpu, born)
		}
		send(w.id, whole("mesure", "ready", 9_000_000_000_000_000_000, 8))
		send("i-other", whole("mesure", "ready", w.born+5000, 8))
		send("i-other", whole("mesure", "draining", w.born+5000, 8))
		send(w.id, whole("other", "ready", w.born, 8))
		send(w.id, whole("mesure", "ready", w.born, -3))
		send(w.id, whole("mesure", "away", w.born, 8))
		send(w.id, `{"state":"ready"}`)
		send(w.id, `[1,2`)
	}
	time.Sleep(6 * time.Second)
	id := newID()
	d.submit(0, 0, "atelier", id, 1, 8, 2*time.Second, `,"data_rack":"r1-1"`)
	broken, why := d.watchLost(id, 20*time.Second)
	for _, r := range d.history.runsOf(id) {
		why += "; it ran on " + r.worker
	}
	return broken, why
}

// rackWait: a gang that is slower on more than one rack waits for a rack, while most of the service is idle.
func rackWait(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-1", "r1-1", "r1-2", "r1-2", "r1-2", "r1-3", "r1-3", "r1-3"}, []tenant{{"atelier", 24}, {"couture", 3}}, nil)
	if trouble {
		for i := range 3 {
			d.submit(i%3, 0, "couture", newID(), 1, 1, 100*time.Second, fmt.Sprintf(`,"data_rack":"r1-%d"`, i+1))
		}
		time.Sleep(5 * time.Second)
	}
	id := newID()
	d.submit(0, 0, "atelier", id, 3, 8, 100*time.Second, `,"gang":true,"same_rack":true`)
	return d.watchLost(id, 30*time.Second)
}

// sweepStall: some time after a leader was killed, its successor removes all jobs that had ended by then, and does nothing else
// meanwhile; jobs that are cancelled run on.
func sweepStall(d *deployment) (bool, string) {
	d.statusS = 24
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	// 4 ms an answer, and 1.4 ms one way between two zones.
	d.store.Inject(emulator.StoreFaults{Delay: 6800 * time.Microsecond})
	// The jobs that the large site hands in within the time for which ended jobs are kept: 6.8 a second for 180 s.
	const ended, rate = 1200, 36
	var clients sync.WaitGroup
	body := `{"spec":"cut the pattern","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_runtime_ms":50}]}`
	ids := make([]string, ended)
	ticks := time.NewTicker(time.Second / rate)
	d.rec.quiet = true
	for i := range ids {
		<-ticks.C
		ids[i] = newID()
		d.history.addJob(ids[i], 0, 50*time.Millisecond)
		clients.Go(func() { d.client(http.MethodPost, i%3, 2, "atelier", ids[i], body) })
	}
	ticks.Stop()
	clients.Wait()
	time.Sleep(2 * time.Second)
	d.rec.quiet = false
	d.rec.add("client: %d small jobs were handed in and have run", ended)
	if trouble {
		leads := d.leader()
		d.entries[leads].kill()
		d.rec.add("platform: %s, which leads, is killed", d.entries[leads].name)
		time.Sleep(time.Second)
		d.entries[leads].start()
		d.rec.add("platform: it is started again")
	}
	changed := time.Now()
	time.Sleep(28 * time.Second)
	var long []string
	for i := range 16 {
		id := newID()
		long = append(long, id)
		d.submit(i%3, 1, "atelier", id, 1, 1, 60*time.Second, "")
	}
	time.Sleep(time.Until(changed.Add(34 * time.Second)))
	worst, worstID := time.Duration(0), ""
	acked := map[string]time.Time{}
	for i, id := range long {
		if a := d.client(http.MethodDelete, i%3, 1, "atelier", id, ""); a.status == http.StatusOK {
			acked[id] = time.Now()
		}
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	for id, at := range acked {
		for _, r := range d.history.runsOf(id) {
			end := r.end
			if end.IsZero() {
				end = time.Now()
			}
			if end.Sub(at) > worst {
				worst, worstID = end.Sub(at), r.task
			}
		}
	}
	if worst > 3900*time.Millisecond {
		return true, fmt.Sprintf("UNASKED: %s runs on until %s after the acknowledgement of its job's cancelling; cancel_ms and stop_grace_ms are 3.9 s", worstID, seconds(worst))
	}
	return false, fmt.Sprintf("%d jobs were cancelled, their tasks were gone %s later at most", len(acked), seconds(worst))
}
