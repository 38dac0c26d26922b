package front

import (
	"sync"
	"time"
)

// taskCounter counts the running requests and background tasks. In contrast to a
// sync.WaitGroup, it allows a task to begin while another goroutine waits.
type taskCounter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

func (t *taskCounter) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *taskCounter) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// wait returns when no task runs, or after the timeout.
func (t *taskCounter) wait(timeout time.Duration) {
	t.mu.Lock()
	if t.count == 0 {
		t.mu.Unlock()
		return
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(timeout):
	}
}
