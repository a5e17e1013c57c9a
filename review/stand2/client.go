package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// job is one request of a client.
type job struct {
	id, class, tenant string
	timeout           time.Duration
	body              []byte
}

// answer is what a client got: the status 0 means none.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
}

// send hands in a job and waits for its answer, for half a second more than the job's time.
func (b *bench) send(client *http.Client, address string, j job) answer {
	start := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/api", bytes.NewReader(j.body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("X-Request-ID", j.id)
	request.Header.Set("X-Priority-Class", j.class)
	request.Header.Set("X-Tenant-Id", j.tenant)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(j.timeout.Milliseconds(), 10))
	c := *client
	c.Timeout = j.timeout + 550*time.Millisecond
	response, err := c.Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(text), err: err, took: time.Since(start)}
}
