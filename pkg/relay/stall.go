package relay

import (
	"context"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
)

const (
	// firstEventTimeout and eventGapTimeout are the times without an event, before the first event
	// and between events, after which another place is looked for. Both are well below the 2 s after
	// which callers start to give up.
	firstEventTimeout = 1500 * time.Millisecond
	eventGapTimeout   = 1500 * time.Millisecond
	// searchInterval is the time between two searches for another place while a stream is silent.
	searchInterval = 500 * time.Millisecond
)

// places are the places of the next attempt of a request.
type places struct {
	reservation *dispatch.Reservation
	// suspect is true if the request may crash its endpoints.
	suspect bool
	// retries is the number of retry tokens that were acquired for the attempt.
	retries int
	// onRelease gives the places back unused.
	onRelease func()
}

func newPlaces(reservation *dispatch.Reservation, suspect bool) *places {
	return &places{reservation: reservation, suspect: suspect, onRelease: func() { reservation.Done(dispatch.Outcome{}) }}
}

// release gives unused places back. It does nothing for nil.
func (p *places) release() {
	if p != nil {
		p.onRelease()
	}
}

// stallWatch looks for other places for a run whose endpoint sends nothing. It cancels the run only
// once it holds them: the endpoint may just pause, and then the run goes on.
type stallWatch struct {
	// search waits for other places. It returns nil if there are none.
	search func(ctx context.Context) *places
	// cancel ends the run.
	cancel func()
	timer  *time.Timer
	// searches counts the searches in progress.
	searches sync.WaitGroup

	mu sync.Mutex
	// stopSearch ends the search in progress, nil if there is none.
	stopSearch context.CancelFunc
	found      *places
	isClosed   bool
}

// watchStall returns a stallWatch whose first search begins after timeout.
func watchStall(timeout time.Duration, search func(ctx context.Context) *places, cancel func()) *stallWatch {
	w := &stallWatch{search: search, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.run)
	return w
}

// extend records progress of the run. It ends a search, and the next one begins after timeout. It does
// nothing for nil.
func (w *stallWatch) extend(timeout time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		return
	}
	w.endSearch()
	w.timer.Reset(timeout)
}

// endSearch ends the search in progress, if there is one. mu must be held.
func (w *stallWatch) endSearch() {
	if w.stopSearch != nil {
		w.stopSearch()
		w.stopSearch = nil
	}
}

// close ends the watch and its searches. It returns the places for which the run was cancelled, nil
// if there are none.
func (w *stallWatch) close() *places {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	w.isClosed = true
	w.timer.Stop()
	w.endSearch()
	w.mu.Unlock()
	w.searches.Wait()
	return w.found
}

// run searches for places once. If it finds none, it schedules the next search.
func (w *stallWatch) run() {
	ctx, ok := w.beginSearch()
	if !ok {
		return
	}
	defer w.searches.Done()
	found := w.search(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.isClosed || ctx.Err() != nil:
		found.release()
	case found != nil:
		w.found, w.isClosed = found, true
		w.cancel()
	default:
		w.endSearch()
		w.timer.Reset(searchInterval)
	}
}

func (w *stallWatch) beginSearch() (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed || w.stopSearch != nil {
		return nil, false
	}
	var ctx context.Context
	ctx, w.stopSearch = context.WithCancel(context.Background())
	w.searches.Add(1)
	return ctx, true
}

// watchDecode watches a decode run at an endpoint that has not responded yet. It returns nil for a
// stream that cannot go on elsewhere. The run counts as one attempt.
func (m *modelRun) watchDecode(ctx context.Context, endpoint directory.Endpoint, cancel context.CancelCauseFunc) *stallWatch {
	j := m.job
	attempts := m.attempts + 1
	if !j.route.Resumable || attempts >= j.route.MaxAttempts || j.sends >= maxModelSends || m.rejections >= maxDecodeRejections {
		return nil
	}
	silent := silentRun{endpoint: endpoint, version: j.version, isDecodeOnly: attempts+2 > j.route.MaxAttempts}
	search := func(searchCtx context.Context) *places {
		searchCtx, stop := context.WithCancel(searchCtx)
		defer stop()
		defer context.AfterFunc(ctx, stop)()
		return m.findOtherPlaces(searchCtx, silent)
	}
	return watchStall(firstEventTimeout+j.route.Target/2, search, cancelOnStall(cancel))
}

// silentRun is a decode run without progress.
type silentRun struct {
	endpoint directory.Endpoint
	// version is the software version that began the stream, "" if it had not begun before the run.
	version string
	// isDecodeOnly is true if the next attempt must not use a prefill endpoint.
	isDecodeOnly bool
}

// findOtherPlaces waits for places at another endpoint than that of a silent run, and for the retry
// tokens that an attempt there needs. It returns nil if there are none, or if the rest of the stream
// would not end in time there. It runs beside the silent run, so it reads only what that leaves
// unchanged.
func (m *modelRun) findOtherPlaces(ctx context.Context, silent silentRun) *places {
	r, j := m.relay, m.job
	now, events := r.config.Now(), int(m.stream.progress.Load())
	delivered := m.stream.deliveredTokens(j, events)
	rest := 1 - float64(delivered)/float64(max(j.call.OutputTokens, delivered, 1))
	verdict, err := r.checkVerdict(j)
	if err != nil || !r.drain.hasTimeForRest(now, j.service.Name, j.deadline, rest) {
		return nil
	}
	request := m.newRequest(now, verdict, delivered)
	request.Exclude, request.DecodeOnly, request.Version = silent.endpoint.Name, silent.isDecodeOnly, silent.version
	if request.Version == "" && events > 0 {
		request.Version = silent.endpoint.Version
	}
	request.Caller += resumedCallerSuffix
	request.Arrival, request.Fingerprint = now, 0
	reservation, err := r.acquire(ctx, j, request)
	if err != nil {
		return nil
	}
	found := newPlaces(reservation, request.Suspect)
	needed := 1
	if reservation.Prefill.Name != "" {
		needed++
	}
	for ; found.retries < needed; found.retries++ {
		if !r.acquireRetry(ctx, j) {
			found.release()
			return nil
		}
	}
	r.config.Log.Info("places are held for a silent stream", "request_id", j.call.ID, "endpoint", silent.endpoint.Name, "prefill", reservation.Prefill.Name,
		"decode", reservation.Decode.Name, "waited_ms", r.config.Now().Sub(now).Milliseconds())
	return found
}
