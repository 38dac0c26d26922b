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

// takenUp: the store is silent for 4.3 s. Streams begin meanwhile. When the store has been sound
// again for longer than stable_window_ms, one daemon is killed, and its clients take their streams up
// again at the other daemons.
func takenUp(trouble bool) {
	store := kit.NewStore()
	zones := []string{"norte-a", "norte-b", "norte-c"}
	var engines []*kit.Server
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		s := kit.NewServer(fmt.Sprintf("i-engine%d", i), "assistant", zones[i%3], stage)
		s.Events, s.Pause = 55, 200*time.Millisecond
		engines = append(engines, s)
	}
	store.Put("op/config", kit.Manifest(3, kit.Route("drafts", "streaming", "assistant", 2, 14000, 2000, true)))
	for _, s := range engines {
		store.Put("servers/"+s.ID, s.Entry("ready"))
	}
	proxy := kit.NewProxy(store.Addr)
	var daemons []*kit.Daemon
	for _, zone := range zones {
		daemons = append(daemons, kit.StartDaemon(kit.Options{Name: "edge-" + zone + "-1", Zone: zone, IP: "127.0.0.1", Store: proxy.Addr}))
	}
	kit.AwaitReady(daemons...)
	// The daemons know the software versions of the servers for longer than two timeouts of the route.
	time.Sleep(32 * time.Second)

	if trouble {
		proxy.SetSilent(true)
		kit.Log("the store is silent")
	}
	time.Sleep(300 * time.Millisecond)
	const count = 24
	var wg sync.WaitGroup
	var mu sync.Mutex
	tookUp, wentOn := 0, 0
	for range count {
		time.Sleep(40 * time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			begun := time.Now()
			first := kit.Do(context.Background(), kit.Call{Front: daemons[0].Front, Method: "POST", Path: "/drafts/x", Stream: true, DeadlineMS: 14000})
			if first.Status != http.StatusOK || len(first.Events) == 0 {
				kit.Log("stream %s: status %d, %d events, %v", first.Attempt, first.Status, len(first.Events), first.Err)
				return
			}
			if first.Err == nil && len(first.Events) == 55 {
				kit.Log("stream %s is complete at its first attempt", first.Attempt)
				return
			}
			last := first.Events[len(first.Events)-1]
			mu.Lock()
			tookUp++
			front := daemons[1+tookUp%2]
			mu.Unlock()
			header := map[string]string{"Last-Event-Id": last, "Resumes": first.Attempt}
			for range 3 {
				left := 14*time.Second - time.Since(begun)
				again := kit.Do(context.Background(), kit.Call{Front: front.Front, Method: "POST", Path: "/drafts/x", Stream: true, DeadlineMS: int(left.Milliseconds()), Header: header})
				kit.Log("stream %s broke after event %s; taken up as %s at %s: status %d, Retry-After %q, %q, %d further events", first.Attempt, last, again.Attempt, front.Name,
					again.Status, again.Header.Get("Retry-After"), again.Body, len(again.Events))
				if again.Status == http.StatusOK && len(again.Events) > 0 {
					mu.Lock()
					wentOn++
					mu.Unlock()
					return
				}
				seconds, _ := strconv.ParseFloat(again.Header.Get("Retry-After"), 64)
				time.Sleep(min(time.Duration(seconds*float64(time.Second)), left/3))
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		proxy.SetSilent(false)
		kit.Log("the store answers again")
	}
	time.Sleep(3500 * time.Millisecond)
	begin := func() int {
		began := 0
		for i := range 12 {
			a := kit.Do(context.Background(), kit.Call{Front: daemons[1+i%2].Front, Method: "POST", Path: "/drafts/y", Stream: true, DeadlineMS: 1500})
			if a.Status == http.StatusOK && len(a.Events) > 0 {
				began++
			}
		}
		return began
	}
	daemons[0].Signal(syscall.SIGKILL)
	kit.Log("%s is killed", daemons[0].Name)
	time.Sleep(500 * time.Millisecond)
	began := begin()
	wg.Wait()
	kit.Log("of 12 new streams at the other daemons %d began; of %d streams that were taken up there %d went on", began, tookUp, wentOn)
	if tookUp < 12 {
		kit.Fail(fmt.Errorf("only %d streams were taken up", tookUp))
	}
	verdict(2*wentOn*12 < began*tookUp)
}
