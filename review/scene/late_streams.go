//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmerictide/turmerictide/review/kit"
)

// lateStreams: a daemon has served some short streams when it gets SIGTERM. Clients send longer
// streams on channels that they have kept, 3.3 s after the SIGTERM.
func lateStreams(trouble bool) {
	store := kit.NewStore()
	zones := []string{"norte-a", "norte-b", "norte-c"}
	var engines []*kit.Server
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		s := kit.NewServer(fmt.Sprintf("i-engine%d", i), "assistant", zones[i%3], stage)
		s.Pause = 50 * time.Millisecond
		s.Handle = func(s *kit.Server, w http.ResponseWriter, r *http.Request, body []byte) bool {
			if s.Stage != "decode" || r.Header.Get("Turmerictide-Serving-Stage") != "" {
				return false
			}
			events := 16
			if strings.HasSuffix(r.URL.Path, "/long") {
				events = 100
			}
			s.Stream(w, r, body, events)
			return true
		}
		engines = append(engines, s)
	}
	store.Put("op/config", kit.Manifest(3, kit.Route("drafts", "streaming", "assistant", 1, 14000, 800, false)))
	for _, s := range engines {
		store.Put("servers/"+s.ID, s.Entry("ready"))
	}
	var daemons []*kit.Daemon
	for _, zone := range zones {
		daemons = append(daemons, kit.StartDaemon(kit.Options{Name: "edge-" + zone + "-1", Zone: zone, IP: "127.0.0.1", Store: store.Addr}))
	}
	kit.AwaitReady(daemons...)
	time.Sleep(2 * time.Second)
	d := daemons[0]
	for range 8 {
		a := kit.Do(context.Background(), kit.Call{Front: d.Front, Method: "POST", Path: "/drafts/short", Stream: true, DeadlineMS: 14000})
		kit.Log("stream %s: status %d, %d events, %v", a.Attempt, a.Status, len(a.Events), a.Err)
	}
	var channels []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", d.Front)
		if err != nil {
			kit.Fail(err)
		}
		if _, status, _, err := streamOn(c, "/drafts/short"); err != nil || status != http.StatusOK {
			kit.Fail(fmt.Errorf("status %d, %v", status, err))
		}
		channels = append(channels, c)
	}
	go kit.Do(context.Background(), kit.Call{Front: d.Front, Method: "POST", Path: "/drafts/long", Stream: true, DeadlineMS: 14000})
	time.Sleep(200 * time.Millisecond)
	term := time.Now()
	if trouble {
		d.Signal(syscall.SIGTERM)
		kit.Log("SIGTERM to %s", d.Name)
	}
	time.Sleep(3300 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for _, c := range channels {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Since(term)
			id, status, events, err := streamOn(c, "/drafts/long")
			kit.Log("stream %s sent %.2f s after SIGTERM: status %d, %d of 100 events, ended %.2f s after SIGTERM, %v", id, sent.Seconds(), status, events, time.Since(term).Seconds(), err)
			if status == http.StatusOK && err != nil {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	kit.Log("%d streams that were sent later than 3 s after the SIGTERM were passed on to a server and cut", cut)
	verdict(cut > 0)
}

// streamOn sends a stream on a kept channel and reads it. The error is nil for a complete one.
func streamOn(c net.Conn, path string) (id string, status, events int, err error) {
	id = kit.NewAttempt()
	_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: desk.example\r\nTurmerictide-Attempt-Id: "+id+"\r\nTurmerictide-Model: m\r\nTurmerictide-Token-Counts: 1000,130\r\n"+
		"Turmerictide-Prompt-Prefix: 5c1e07a2:200,"+id[8:]+":800\r\nTurmerictide-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\nhi")
	if err != nil {
		return id, 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return id, 0, 0, err
	}
	body, err := io.ReadAll(response.Body)
	return id, response.StatusCode, strings.Count(string(body), "data: "), err
}
