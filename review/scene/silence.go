//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/turmerictide/turmerictide/review/kit"
)

// silence: model servers pause each run once for 2 s, as one does that preempts a request and reads
// it in again. The daemon gets SIGHUP just before the requests.
func silence(trouble bool) {
	store := kit.NewStore()
	zones := []string{"norte-a", "norte-b", "norte-c"}
	const end = 30
	var engines []*kit.Server
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		s := kit.NewServer(fmt.Sprintf("i-engine%d", i), "assistant", zones[i%3], stage)
		s.Handle = func(s *kit.Server, w http.ResponseWriter, r *http.Request, body []byte) bool {
			if s.Stage != "decode" || r.Header.Get("Turmerictide-Serving-Stage") != "" {
				return false
			}
			s.AddRun(r, body)
			s.Seal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			first := 0
			if last := r.Header.Get("Last-Event-Id"); last != "" {
				first, _ = strconv.Atoi(last)
				first++
			}
			for i := first; i < end; i++ {
				pause := 30 * time.Millisecond
				if trouble && i == first+5 {
					pause = 2 * time.Second
				}
				select {
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				case <-time.After(pause):
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
				w.(http.Flusher).Flush()
			}
			return true
		}
		engines = append(engines, s)
	}
	store.Put("op/config", kit.Manifest(3, kit.Route("digests", "streaming", "assistant", 2, 14000, 2000, true)))
	for _, s := range engines {
		store.Put("servers/"+s.ID, s.Entry("ready"))
	}
	var daemons []*kit.Daemon
	for _, zone := range zones {
		daemons = append(daemons, kit.StartDaemon(kit.Options{Name: "edge-" + zone + "-1", Zone: zone, IP: "127.0.0.1", Store: store.Addr}))
	}
	kit.AwaitReady(daemons...)
	time.Sleep(4 * time.Second)
	for _, d := range daemons {
		d.Signal(syscall.SIGHUP)
	}
	hup := time.Now()
	kit.Log("SIGHUP to all daemons")
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for i := range 12 {
		time.Sleep(100 * time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d, sent := daemons[i%3], time.Since(hup)
			a := kit.Do(context.Background(), kit.Call{Front: d.Front, Method: "POST", Path: "/digests/x", Stream: true, DeadlineMS: 14000})
			kit.Log("stream %s sent to %s %.1f s after SIGHUP: status %d, %d of %d events, ended after %.1f s, %v", a.Attempt, d.Name, sent.Seconds(), a.Status, len(a.Events), end, time.Since(hup).Seconds()-sent.Seconds(), a.Err)
			if a.Err != nil || (a.Status == http.StatusOK && len(a.Events) < end) {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	for _, e := range engines {
		for _, r := range e.AllRuns() {
			kit.Log("run of %s at %s, Last-Event-Id %q", r.ID, e.ID, r.Header.Get("Last-Event-Id"))
		}
	}
	kit.Log("%d of 12 streams that were passed on ended without their last event", cut)
	verdict(cut > 0)
}
