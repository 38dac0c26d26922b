package front

import (
	"sync"
	"time"
)

// work counts what runs: requests, and what outlives them in the background.
// Unlike a sync.WaitGroup it may grow while somebody waits for its end.
type work struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

func (w *work) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
}

func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	if w.count == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// wait returns when nothing runs, at the latest after limit.
func (w *work) wait(limit time.Duration) {
	w.mu.Lock()
	if w.count == 0 {
		w.mu.Unlock()
		return
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(limit):
	}
}
