//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/review/kit"
)

// largeBodies: clients upload bodies of 200 KB, far below max_body_bytes, at one daemon: 80 at a
// time, and with the disruption a burst of 2.4 times as many.
func largeBodies(trouble bool) {
	store := kit.NewStore()
	var desk []*kit.Server
	for i, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		s := kit.NewServer(fmt.Sprintf("i-desk%d", i), "desk", zone, "")
		s.Work, s.Slots = 300*time.Millisecond, 64
		desk = append(desk, s)
	}
	store.Put("op/config", kit.Manifest(3, kit.Route("orders", "non_idempotent", "desk", 1, 8000, 3000, false)))
	for _, s := range desk {
		store.Put("servers/"+s.ID, s.Entry("ready"))
	}
	d := kit.StartDaemon(kit.Options{Name: "edge-norte-a-1", Zone: "norte-a", IP: "127.0.0.1", Store: store.Addr})
	kit.AwaitReady(d)
	time.Sleep(time.Second)
	const size = 200 << 10
	clients := 80
	if trouble {
		clients = 192
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	own4xx := 0
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", d.Front)
			if err != nil {
				kit.Log("%d: %v", i, err)
				return
			}
			defer func() { _ = c.Close() }()
			id := kit.NewAttempt()
			_, _ = io.WriteString(c, fmt.Sprintf("POST /orders/x HTTP/1.1\r\nHost: desk.example\r\nTurmerictide-Attempt-Id: %s\r\nTurmerictide-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", id, size))
			go func() {
				for range size / 10240 {
					if _, err := io.WriteString(c, strings.Repeat("x", 10240)); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
			reader := bufio.NewReader(c)
			var got []string
			_ = c.SetReadDeadline(time.Now().Add(9 * time.Second))
			for {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, response.Body)
				if len(got) == 0 && response.StatusCode >= 400 && response.StatusCode < 500 {
					mu.Lock()
					own4xx++
					mu.Unlock()
				}
				got = append(got, fmt.Sprint(response.StatusCode))
				_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			}
			kit.Log("attempt %s: answers %v", id, got)
			mu.Lock()
			statuses[strings.Join(got, " then ")]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	kit.Log("answers on one channel to one request, and how often: %v", statuses)
	kit.Log("%d of %d requests within all limits were ended with a 4xx of the daemon; more than %.1f break the rule", own4xx, clients, 5+float64(clients)/500)
	verdict(float64(own4xx) > 5+float64(clients)/500)
}
