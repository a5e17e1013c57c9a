// Command toy is what a newcomer needs beside one dispatcher: a discovery that lists two south side hosts,
// and the hosts. They take a job, say that it has begun, wait for as long as its X-Cost asks, and hand back
// its body in capitals. It keeps nothing and checks little; see README.md in this folder.
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
	listen := flag.String("discovery", "127.0.0.1:8500", "address of the discovery")
	dispatcher := flag.String("dispatcher", "127.0.0.1:9000", "address that call-backs go to")
	flag.Parse()
	hosts := map[string]string{"s-one": "127.0.0.1:9101", "s-two": "127.0.0.1:9102"}
	for name, addr := range hosts {
		h := &host{name: name, dispatcher: *dispatcher, off: map[string]chan struct{}{}}
		go func() { log.Fatalf("at=host name=%s error=%q", name, fasthttp.ListenAndServe(addr, h.handle)) }()
	}
	log.Printf("at=toy discovery=%s hosts=%d", *listen, len(hosts))
	log.Fatalf("at=discovery error=%q",
		fasthttp.ListenAndServe(*listen, func(ctx *fasthttp.RequestCtx) { discover(ctx, hosts) }))
}

// discover lists the hosts once; a watch of that version waits in vain for a newer one.
func discover(ctx *fasthttp.RequestCtx, hosts map[string]string) {
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

type host struct {
	name, dispatcher string
	mu               sync.Mutex
	off              map[string]chan struct{} // closed when the job is called off
}

func (h *host) handle(ctx *fasthttp.RequestCtx) {
	if id, ok := strings.CutPrefix(string(ctx.Path()), "/jobs/"); ok && ctx.IsDelete() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if off := h.off[id]; off != nil {
			close(off)
			delete(h.off, id)
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
	off := make(chan struct{})
	h.mu.Lock()
	h.off[id] = off
	h.mu.Unlock()
	go h.run(id, bytes.ToUpper(ctx.PostBody()), time.Duration(cost)*time.Microsecond, off)
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (h *host) run(id string, result []byte, cost time.Duration, off <-chan struct{}) {
	h.tell(id, "started", "")
	select {
	case <-off:
		log.Printf("at=host name=%s id=%s state=called-off", h.name, id)
		return
	case <-time.After(cost):
	}
	h.mu.Lock()
	delete(h.off, id)
	h.mu.Unlock()
	h.tell(id, "done", string(result))
}

// tell makes one call-back, up to ten times, until it is answered.
func (h *host) tell(id, state, result string) {
	body, _ := jsoniter.Marshal(map[string]string{"id": id, "from": h.name, "state": state, "result": result})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.dispatcher + "/v1/job-events")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	for range 10 {
		if err := fasthttp.DoTimeout(req, resp, time.Second); err == nil && resp.StatusCode() == fasthttp.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	log.Printf("at=host name=%s id=%s state=%s error=%q", h.name, id, state, "not answered")
}
