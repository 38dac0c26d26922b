//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/turmerictide/turmerictide/review/kit"
)

// limitedEngines: the prefill servers of a model service name a Server-Limit that is far above what
// they get. The load is one at which the router moves an engine from the prefill to the decode
// stage. Later a manifest changes a timeout, and another one moves a route to another service.
func limitedEngines(trouble bool) {
	store := kit.NewStore()
	zones := []string{"norte-a", "norte-b", "norte-c"}
	var engines, desk, office []*kit.Server
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		s := kit.NewServer(fmt.Sprintf("i-engine%d", i), "assistant", zones[i%3], stage)
		s.Events, s.Pause = 70, 15*time.Millisecond
		if trouble && stage == "prefill" {
			s.Handle = func(_ *kit.Server, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
				w.Header().Set("Server-Limit", "40")
				return false
			}
		}
		engines = append(engines, s)
	}
	for i := range 3 {
		desk = append(desk, kit.NewServer(fmt.Sprintf("i-desk%d", i), "desk", zones[i], ""))
		office = append(office, kit.NewServer(fmt.Sprintf("i-office%d", i), "office", zones[i], ""))
	}
	drafts := kit.Route("drafts", "streaming", "assistant", 1, 14000, 800, false)
	orders := func(service string, timeoutMS int) map[string]any {
		return kit.Route("orders", "non_idempotent", service, 1, timeoutMS, 300, false)
	}
	store.Put("op/config", kit.Manifest(3, drafts, orders("desk", 800)))
	plain := append(append([]*kit.Server{}, desk...), office...)
	for _, s := range append(append([]*kit.Server{}, engines...), plain...) {
		store.Put("servers/"+s.ID, s.Entry("ready"))
	}
	var daemons []*kit.Daemon
	for _, zone := range zones {
		daemons = append(daemons, kit.StartDaemon(kit.Options{Name: "edge-" + zone + "-1", Zone: zone, IP: "127.0.0.1", Store: store.Addr}))
	}
	kit.AwaitReady(daemons...)
	time.Sleep(2 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var served, other atomic.Int64
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(30 * time.Millisecond)
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := kit.Do(context.Background(), kit.Call{Front: daemons[i%3].Front, Method: "POST", Path: "/drafts/x", Stream: true, DeadlineMS: 14000})
				if a.Status == http.StatusOK && a.Err == nil && len(a.Events) == 70 {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}()
		}
	}()
	logStreams := func() {
		n := 0
		for _, e := range engines {
			for _, a := range e.AllArrivals() {
				if a.Path == "/order" {
					n++
				}
			}
		}
		kit.Log("streams: %d complete, %d others; orders to model servers: %d", served.Load(), other.Load(), n)
	}
	time.Sleep(20 * time.Second)
	logStreams()

	store.Put("op/config", kit.Manifest(5, drafts, orders("desk", 900)))
	kit.Log("manifest 5 is acknowledged: timeout_ms of /orders/ is 900")
	time.Sleep(3 * time.Second)
	store.Put("op/config", kit.Manifest(7, drafts, orders("office", 900)))
	acked := time.Now()
	kit.Log("manifest 7 is acknowledged: /orders/ goes to office and no longer to desk")
	time.Sleep(2500 * time.Millisecond)
	old, total := 0, 0
	for range 10 {
		for _, d := range daemons {
			age := time.Since(acked)
			a := kit.Do(context.Background(), kit.Call{Front: d.Front, Method: "POST", Path: "/orders/x", Body: "order", DeadlineMS: 1500})
			service := "nobody"
			for _, s := range plain {
				for _, r := range s.AllRuns() {
					if r.ID == a.Attempt {
						service = s.Service
					}
				}
			}
			kit.Log("order %s sent to %s %.1f s after the ack of manifest 7: status %d, run by %s", a.Attempt, d.Name, age.Seconds(), a.Status, service)
			total++
			if service == "desk" {
				old++
			}
		}
		time.Sleep(time.Second)
	}
	stop()
	wg.Wait()
	logStreams()
	kit.Log("%d of %d orders sent later than config_apply_ms (2 s) after the ack were run by the old service", old, total)
	// Not part of the check: a daemon that hangs does not end by itself either.
	for _, d := range daemons {
		d.Signal(syscall.SIGTERM)
	}
	kit.Log("SIGTERM to all daemons, with no request in flight")
	time.Sleep(8500 * time.Millisecond)
	for _, d := range daemons {
		kit.Log("%s has ended 8.5 s after SIGTERM (grace_s is 8): %t", d.Name, d.HasExited())
	}
	if served.Load() == 0 {
		kit.Fail(fmt.Errorf("no stream was served"))
	}
	verdict(old > 0)
}
