//go:build review

// Command cutoff cuts one daemon off from the store while streams of two software versions begin there, and
// kills that daemon. Its clients take their streams up at the other daemons, which nothing has harmed.
package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/review/stage2"
)

const (
	streams  = 18
	events   = 100
	eventGap = 90 * time.Millisecond
)

func main() {
	stage2.Main("target/review-2/cutoff.txt", 110*time.Second, run)
}

// caller is a client with one stream.
type caller struct {
	n       int
	first   string
	last    int
	version map[string]bool
	// takenUp is true once the client has sent its stream again, goesOn once that brought an event.
	takenUp, goesOn, done bool
	outcome               string
}

func call(attempt string, deadline time.Duration, n int) stage2.Call {
	return stage2.Call{
		Attempt: attempt, Method: "POST", Host: stage2.HostName, Target: fmt.Sprintf("/pufi791/%d", n), Body: strings.Repeat("x", 500),
		DeadlineMS: int(deadline.Milliseconds()), Header: map[string]string{
			"Turmerictide-Model": "m", "Turmerictide-Token-Counts": "1100,110", "Turmerictide-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%08x:900", n+1),
		},
	}
}

// run sends the stream, and once its channel breaks takes it up twice at most.
func (c *caller) run(ctx context.Context, s *stage2.Stage, fronts []*stage2.Daemon) {
	c.last, c.version = -1, map[string]bool{}
	begin := time.Now()
	onEvent := func(e stage2.Event) {
		c.version[e.Data[strings.LastIndex(e.Data, " ")+1:]] = true
		if e.ID != c.last+1 {
			s.Log("stream %d: event %d after %d", c.n, e.ID, c.last)
		}
		c.last = e.ID
		c.goesOn = c.goesOn || c.takenUp
	}
	for try, front := range fronts {
		left := 14*time.Second - time.Since(begin)
		attempt := stage2.NewAttempt()
		request := call(attempt, left, c.n)
		if c.last >= 0 {
			c.takenUp = true
			request.Header["Last-Event-Id"], request.Header["Resumes"] = strconv.Itoa(c.last), c.first
		} else {
			c.first = attempt
		}
		s.Log("stream %d: attempt %s at %s, last event %d, resumes %q", c.n, attempt, front.Host, c.last, request.Header["Resumes"])
		answer := stage2.Stream(ctx, front.Front, request, onEvent)
		c.outcome = fmt.Sprintf("status %d %s error %v", answer.Status, strings.TrimSpace(answer.Body), answer.Err)
		s.Log("stream %d: attempt %s at %s ended: %s, last event %d, retry after %s", c.n, attempt, front.Host, c.outcome, c.last, answer.RetryAfter)
		if c.last == events-1 || ctx.Err() != nil {
			c.done = c.last == events-1
			return
		}
		if answer.RetryAfter > 0 && try < len(fronts)-1 {
			time.Sleep(min(answer.RetryAfter, (14*time.Second-time.Since(begin))/3))
		}
	}
}

func run(ctx context.Context, s *stage2.Stage) (int, error) {
	s.Store.Put("op/config", stage2.SmallManifest(7))
	zones := []string{"norte-a", "norte-b", "norte-c"}
	for i := range 9 {
		server := &stage2.Server{
			ID: fmt.Sprintf("i-redactor-%d", i), Service: "redactor", Zone: zones[i%3], Version: "v1", Slots: 12, Stage: "decode", Events: events, Gap: eventGap,
		}
		if i < 3 {
			server.Stage = "prefill"
		} else if i >= 6 {
			server.Version = "v2"
		}
		if err := s.AddServer(server); err != nil {
			return 0, err
		}
	}
	proxy, err := stage2.StartProxy(s.NewIP()+":0", s.Store.Address)
	if err != nil {
		return 0, err
	}
	storeOf := func(host string) string {
		if host == "edge-norte-b-4" {
			return proxy.Address
		}
		return s.Store.Address
	}
	if err := s.AddDaemons(storeOf); err != nil {
		return 0, err
	}
	if err := s.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	if s.Trouble {
		proxy.SetCut(true)
		s.Log("edge-norte-b-4 is cut off from the store")
	}
	time.Sleep(time.Second)
	if ready := s.IsReady(s.Daemons[3]); !ready {
		s.Log("edge-norte-b-4 is not ready any more")
		return stage2.Held, nil
	}
	victim, others := s.Daemons[3], append(append([]*stage2.Daemon(nil), s.Daemons[:3]...), s.Daemons[4:]...)
	var group sync.WaitGroup
	callers := []*caller{}
	start := func(n int, fronts ...*stage2.Daemon) *caller {
		c := &caller{n: n}
		group.Add(1)
		go func() {
			defer group.Done()
			c.run(ctx, s, fronts)
		}()
		return c
	}
	for n := range streams {
		callers = append(callers, start(n, victim, others[n%6], others[(n+2)%6]))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	s.Log("%d records of streams are in the store", s.Store.Keys("turmerictide/origins/"))
	s.Kill(victim)
	proxy.SetCut(false)
	fresh := []*caller{}
	for n := range streams {
		fresh = append(fresh, start(100+n, others[n%6], others[(n+2)%6], others[(n+4)%6]))
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()

	taken, on, begun, complete, mixed := 0, 0, 0, 0, 0
	for _, c := range callers {
		if c.takenUp {
			taken++
		}
		if c.goesOn {
			on++
		}
		if c.done {
			complete++
		}
		if len(c.version) > 1 {
			mixed++
		}
	}
	for _, c := range fresh {
		if c.last >= 0 {
			begun++
		}
	}
	for _, d := range others[:2] {
		s.LogsTo(d, "version of a resumed stream", 3)
	}
	summary := fmt.Sprintf("%d streams were taken up, %d went on, %d were completed, %d hold events of two versions; of %d new streams %d began", taken, on, complete, mixed, len(fresh), begun)
	s.Log("%s", summary)
	fmt.Println(summary)
	if taken < 12 || begun < len(fresh)/2 {
		return 0, fmt.Errorf("too few streams: %s", summary)
	}
	// LOST: the share that goes on is under half of the share of new streams that begin.
	if 2*on*len(fresh) < begun*taken {
		return stage2.Broken, nil
	}
	return stage2.Held, nil
}
