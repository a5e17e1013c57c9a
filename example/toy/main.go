// Command toy runs what one dispatcher needs to be tried out: a discovery service that lists two workers (hosts), and
// the workers. A worker accepts a job, reports that it has started, waits for the time in its X-Cost header (in
// microseconds), and reports its body in capitals as the result. The program stores nothing and checks little; see
// README.md in this folder.
package main

import (
	"bytes"
	"flag"
	"log"
	"strconv"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"
)

func main() {
	listen := flag.String("discovery", "127.0.0.1:8500", "listen address of the discovery service")
	dispatcher := flag.String("dispatcher", "127.0.0.1:9000", "address of the dispatcher, for callbacks")
	flag.Parse()
	hosts := map[string]string{"s-one": "127.0.0.1:9101", "s-two": "127.0.0.1:9102"}
	for name, addr := range hosts {
		w := &worker{name: name, dispatcher: *dispatcher, cancelled: map[string]chan struct{}{}}
		go func() { log.Fatalf("at=host name=%s error=%q", name, fasthttp.ListenAndServe(addr, w.handle)) }()
	}
	log.Printf("at=toy discovery=%s hosts=%d", *listen, len(hosts))
	log.Fatalf("at=discovery error=%q",
		fasthttp.ListenAndServe(*listen, func(ctx *fasthttp.RequestCtx) { serveDiscovery(ctx, hosts) }))
}

// serveDiscovery answers with the list of hosts. The list never changes, so a long poll for a newer version gets an
// empty answer when its wait is over.
func serveDiscovery(ctx *fasthttp.RequestCtx, hosts map[string]string) {
	type entry struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Class  string  `json:"class"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		Born   int64   `json:"born_ms"`
	}
	list := struct {
		Seq   int     `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []entry `json:"hosts"`
	}{Seq: 1, Whole: true, Hosts: []entry{}}
	if ctx.QueryArgs().GetUintOrZero("after") >= list.Seq {
		time.Sleep(time.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond)
		list.Whole = false
	} else {
		for name, addr := range hosts {
			list.Hosts = append(list.Hosts,
				entry{Host: name, Dial: addr, Site: "hall-a", Class: "small", Health: "up", Share: 1})
		}
	}
	text, _ := jsoniter.Marshal(list)
	ctx.SetBody(text)
}

// worker is one host: it runs jobs and sends their results to the dispatcher.
type worker struct {
	name, dispatcher string
	mu               sync.Mutex
	cancelled        map[string]chan struct{} // by id; closed when the job is cancelled
}

// handle accepts a job, or cancels one.
func (w *worker) handle(ctx *fasthttp.RequestCtx) {
	if id, ok := strings.CutPrefix(string(ctx.Path()), "/jobs/"); ok && ctx.IsDelete() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if cancelled := w.cancelled[id]; cancelled != nil {
			close(cancelled)
			delete(w.cancelled, id)
		}
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if id == "" {
		ctx.Error("no id", fasthttp.StatusNotFound)
		return
	}
	cost, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Cost")))
	if err != nil {
		cost = 100_000
	}
	cancelled := make(chan struct{})
	w.mu.Lock()
	w.cancelled[id] = cancelled
	w.mu.Unlock()
	go w.run(id, bytes.ToUpper(ctx.PostBody()), time.Duration(cost)*time.Microsecond, cancelled)
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

// run reports that a job has started, waits for its cost, and reports its result unless it is cancelled meanwhile.
func (w *worker) run(id string, result []byte, cost time.Duration, cancelled <-chan struct{}) {
	w.sendCallback(id, "started", "")
	select {
	case <-cancelled:
		log.Printf("at=host name=%s id=%s state=cancelled", w.name, id)
		return
	case <-time.After(cost):
	}
	w.mu.Lock()
	delete(w.cancelled, id)
	w.mu.Unlock()
	w.sendCallback(id, "done", string(result))
}

// sendCallback sends a callback, up to ten times, until it is answered.
func (w *worker) sendCallback(id, state, result string) {
	body, _ := jsoniter.Marshal(map[string]string{"id": id, "from": w.name, "state": state, "result": result})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.dispatcher + "/v1/job-events")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	for range 10 {
		if err := fasthttp.DoTimeout(req, resp, time.Second); err == nil && resp.StatusCode() == fasthttp.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	log.Printf("at=host name=%s id=%s state=%s error=%q", w.name, id, state, "not answered")
}
