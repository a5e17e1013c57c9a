// Package stand holds the stand-ins of the review's cases, workers and clients, and the frame of a case. They speak the
// protocol of the platform's pages on loopback addresses.
package stand

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Attempt is one request for a job, as the worker saw it. A time is zero if its event did not happen.
type Attempt struct {
	ID       string
	Worker   string
	Body     string
	Arrived  time.Time // when its last byte had arrived: from then on its job may run
	Accepted time.Time // when the worker answered 202
	Ended    time.Time // when the worker first tried to report its end
	GivenUp  time.Time // when a DELETE arrived, or its connection closed before the 202
	State    string    // the state in which it ended
}

// IsOver reports whether the attempt had ended or been given up by a time.
func (a *Attempt) IsOver(at time.Time) bool {
	return !a.Ended.IsZero() && !a.Ended.After(at) || !a.GivenUp.IsZero() && !a.GivenUp.After(at)
}

// Job is what a worker does with an attempt that it has accepted.
type Job struct {
	Duration time.Duration
	EndState string // state of the last callback, "" for done
}

// Worker is a stand-in for a worker.
type Worker struct {
	Name      string
	record    *Record
	listener  net.Listener
	server    *http.Server
	mu        sync.Mutex
	attempts  []*Attempt
	hangs     bool
	callbacks string // address for callbacks
	job       func(id string, number int) Job
}

// StartWorker starts a worker on a free loopback port. job says what becomes of the attempt of a number, from 0, at
// this worker.
func StartWorker(name string, record *Record, job func(id string, number int) Job) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{Name: name, record: record, listener: listener, job: job}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.server.Serve(listener)
	return w, nil
}

// Address returns the worker's address.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close closes the worker's listener and connections.
func (w *Worker) Close() { w.server.Close() }

// SetCallbacks sets the address to which the worker sends its callbacks.
func (w *Worker) SetCallbacks(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbacks = address
}

// SetHanging makes the worker take requests and answer none, or ends that for the requests to come.
func (w *Worker) SetHanging(hangs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangs = hangs
}

// Attempts returns copies of all attempts so far, in the order of their arrival.
func (w *Worker) Attempts() (list []Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		list = append(list, *a)
	}
	return list
}

// serve answers one request of the dispatcher.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-ID")
	switch {
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/jobs/"):
		w.giveUp(strings.TrimPrefix(r.URL.Path, "/jobs/"))
	case r.Method == http.MethodPost && id != "":
		w.take(out, r, id)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) giveUp(id string) {
	w.record.Add("%s: DELETE /jobs/%s", w.Name, id)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.ID == id && a.GivenUp.IsZero() {
			a.GivenUp = time.Now()
		}
	}
}

// take takes an attempt: it answers 202 and runs the job, or hangs.
func (w *Worker) take(out http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	number := 0
	for _, a := range w.attempts {
		if a.ID == id {
			number++
		}
	}
	a := &Attempt{ID: id, Worker: w.Name, Body: string(body), Arrived: time.Now()}
	w.attempts = append(w.attempts, a)
	hangs := w.hangs
	w.mu.Unlock()
	w.record.Add("%s: attempt %d of %s with body %q arrived, class %s, X-Timeout-Ms %s, hanging %v", w.Name, number, id,
		body, r.Header.Get("X-Priority-Class"), r.Header.Get("X-Timeout-Ms"), hangs)
	if hangs {
		<-r.Context().Done()
		w.mu.Lock()
		defer w.mu.Unlock()
		if a.GivenUp.IsZero() {
			a.GivenUp = time.Now()
		}
		return
	}
	out.WriteHeader(http.StatusAccepted)
	w.mu.Lock()
	a.Accepted = time.Now()
	w.mu.Unlock()
	go w.run(a, number)
}

// run runs the job of an attempt and reports its start and its end.
func (w *Worker) run(a *Attempt, number int) {
	job := w.job(a.ID, number)
	w.Call(a, "started")
	time.Sleep(job.Duration)
	state := job.EndState
	if state == "" {
		state = "done"
	}
	w.mu.Lock()
	over := !a.GivenUp.IsZero()
	if !over {
		a.Ended, a.State = time.Now(), state
	}
	w.mu.Unlock()
	if over {
		w.record.Add("%s: attempt %d of %s was given up", w.Name, number, a.ID)
		return
	}
	w.Call(a, state)
}

// Result returns the result that the worker gives for an attempt.
func (w *Worker) Result(a *Attempt) string { return w.Name + " served " + a.ID + " " + a.Body }

const (
	callTries   = 10                     // how often a callback is tried
	callPause   = 100 * time.Millisecond // between two tries
	callTimeout = 2 * time.Second        // for the answer to one try
)

// Call sends a callback until it is answered with 200 or 204, ten times at most.
func (w *Worker) Call(a *Attempt, state string) {
	event := map[string]any{"id": a.ID, "from": w.Name, "state": state}
	if state == "done" {
		event["result"] = w.Result(a)
	}
	body, _ := jsoniter.Marshal(event)
	for try := range callTries {
		if try > 0 {
			time.Sleep(callPause)
		}
		w.mu.Lock()
		address := w.callbacks
		w.mu.Unlock()
		err := post("http://"+address+"/v1/job-events", body)
		w.record.Add("%s: call %d: %s of %s %q: %s", w.Name, try, state, a.ID, a.Body, orOK(err))
		if err == nil {
			return
		}
	}
}

// post makes one call on a connection of its own.
func post(url string, body []byte) error {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	c := http.Client{Timeout: callTimeout, Transport: transport}
	answer, err := c.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// orOK returns the text of an error, or "answered".
func orOK(err error) string {
	if err == nil {
		return "answered"
	}
	return err.Error()
}
