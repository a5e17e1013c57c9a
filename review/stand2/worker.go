package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one attempt of a request at a worker.
type attempt struct {
	id, class string
	number    int // of the attempts of this id here, from 0
	body      []byte
	at        time.Time
	ended     bool      // it was told how it ended, or given up
	done      time.Time // when the dispatcher took the call that it is done; zero if it did not
	beside    int       // how many earlier ones of this id were open here when it came
	gaveUp    chan struct{}
}

// worker is a stand-in for a worker. It takes each job with a 202 and then plays it.
type worker struct {
	bench   *bench
	name    string
	address string
	report  func(id string) string // the address for the call-backs of a job
	play    func(w *worker, a *attempt)
	client  *http.Client
	server  *http.Server

	mu       sync.Mutex
	attempts []*attempt
}

// startWorker starts a worker at an address, which may leave the port free.
func (b *bench) startWorker(name, address string, report func(string) string,
	play func(*worker, *attempt)) (*worker, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{bench: b, name: name, address: ln.Addr().String(), report: report, play: play,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", w.take)
	mux.HandleFunc("DELETE /jobs/{id}", w.drop)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /status/load", func(out http.ResponseWriter, _ *http.Request) {
		out.Write([]byte(`{"pending":0,"x0":3}`))
	})
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(ln)
	return w, nil
}

// take takes a job.
func (w *worker) take(out http.ResponseWriter, r *http.Request) {
	at := time.Now() // for drains the time of a send counts from its first byte
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &attempt{id: r.Header.Get("X-Request-ID"), class: r.Header.Get("X-Priority-Class"), body: body, at: at,
		gaveUp: make(chan struct{})}
	if a.id == "" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	w.mu.Lock()
	for _, other := range w.attempts {
		if other.id == a.id {
			a.number++
			if !other.ended {
				a.beside++
			}
		}
	}
	w.attempts = append(w.attempts, a)
	w.mu.Unlock()
	w.bench.note("%s got attempt %d of %s (%s), while %d of its attempts here had neither ended nor been given up",
		w.name, a.number+1, a.id, a.class, a.beside)
	out.WriteHeader(http.StatusAccepted)
	go w.play(w, a)
}

// recordsOf is the result of a lookup.
func recordsOf(a *attempt) string { return fmt.Sprintf("records of %s", a.body) }

// startWorkers starts n workers on free ports, and returns their entries for the list too.
func (b *bench) startWorkers(n int, report func(string) string, play func(*worker, *attempt)) (
	workers []*worker, hosts []host, err error) {
	for i := range n {
		w, err := b.startWorker(fmt.Sprintf("w%d", i+1), "127.0.0.1:0", report, play)
		if err != nil {
			return nil, nil, err
		}
		workers, hosts = append(workers, w), append(hosts, newHost(w.name, w.address))
	}
	return workers, hosts, nil
}

// drop gives up the open attempts of an id.
func (w *worker) drop(out http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.mu.Lock()
	for _, a := range w.attempts {
		if a.id == id && !a.ended {
			a.ended = true
			close(a.gaveUp)
		}
	}
	w.mu.Unlock()
	w.bench.note("%s was told to drop %s", w.name, id)
	out.WriteHeader(http.StatusNoContent)
}

// end marks an attempt as ended, from the moment that the worker tells of it. It reports whether it was still open.
func (w *worker) end(a *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	return true
}

// shutDown ends the worker: its connections are reset, new ones are refused, and the machine's agent tells of each job
// that it still had that it is lost. It returns how many of these had come after a time.
func (w *worker) shutDown(after time.Time) (late int) {
	w.server.Close()
	w.mu.Lock()
	var open []*attempt
	for _, a := range w.attempts {
		if !a.ended {
			a.ended = true
			close(a.gaveUp)
			open = append(open, a)
		}
	}
	w.mu.Unlock()
	w.bench.note("%s has ended, with %d jobs", w.name, len(open))
	for _, a := range open {
		if a.at.After(after) {
			late++
			w.bench.note("%s (%s) had come to %s when nothing new was to come, and is lost", a.id, a.class, w.name)
		}
		go w.tell(w.report(a.id), a, "lost", nil)
	}
	return late
}

// count returns how many attempts came of an id (of all, if it is empty) after a time.
func (w *worker) count(id string, after time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if (id == "" || a.id == id) && a.at.After(after) {
			n++
		}
	}
	return n
}

// countDone returns how many attempts of an id with a body were done before a time, as far as the dispatcher took the
// calls.
func (w *worker) countDone(id, body string, before time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.id == id && string(a.body) == body && !a.done.IsZero() && a.done.Before(before) {
			n++
		}
	}
	return n
}

// tell makes a call-back, up to ten times until it is answered with 200 or 204, and returns how often it tried.
func (w *worker) tell(address string, a *attempt, state string, more map[string]any) (tries int, taken bool) {
	call := map[string]any{"id": a.id, "from": w.name, "state": state}
	for k, v := range more {
		call[k] = v
	}
	text, _ := json.Marshal(call)
	for tries = 1; tries <= 10; tries++ {
		if tries > 1 {
			address = w.report(a.id)
			time.Sleep(200 * time.Millisecond)
		}
		answer, err := w.client.Post("http://"+address+"/v1/job-events", "application/json", bytes.NewReader(text))
		if err != nil {
			w.bench.note("%s told %s of %s, attempt %d, try %d: no answer (%v)", w.name, state, a.id, a.number+1, tries,
				err)
			continue
		}
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK || answer.StatusCode == http.StatusNoContent {
			w.bench.note("%s told %s of %s, attempt %d, try %d: %d", w.name, state, a.id, a.number+1, tries,
				answer.StatusCode)
			return tries, true
		}
		w.bench.note("%s told %s of %s, attempt %d, try %d: %d", w.name, state, a.id, a.number+1, tries,
			answer.StatusCode)
	}
	return tries - 1, false
}

// byClass plays lookups and disputes with their own running times.
func byClass(lookup, dispute time.Duration) func(*worker, *attempt) {
	return func(w *worker, a *attempt) {
		duration := lookup
		if a.class == "dispute-extract" {
			duration = dispute
		}
		run(duration, recordsOf)(w, a)
	}
}

// finish tells that a job is done.
func (w *worker) finish(a *attempt, result string) {
	_, taken := w.tell(w.report(a.id), a, "done", map[string]any{"result": result, "load": freeLoad})
	w.mu.Lock()
	defer w.mu.Unlock()
	if taken {
		a.done = time.Now()
	}
}

// freeLoad is the load report of a worker with free slots.
var freeLoad = map[string]any{"pending": 0, "x0": 5}

// run plays a job that starts at once, runs for a time and is done.
func run(duration time.Duration, result func(a *attempt) string) func(*worker, *attempt) {
	return func(w *worker, a *attempt) {
		w.tell(w.report(a.id), a, "started", nil)
		end := time.After(duration)
		for {
			select {
			case <-a.gaveUp:
				return
			case <-time.After(2 * time.Second):
				w.tell(w.report(a.id), a, "running", map[string]any{"share": 0.5})
				continue
			case <-end:
			}
			break
		}
		if w.end(a) {
			w.finish(a, result(a))
		}
	}
}
