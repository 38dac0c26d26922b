package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/balance"
	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

const (
	// maxPlainSends limits the endpoints that one call is sent to.
	maxPlainSends = 3
	// hedgeDelayFactor is the fraction of the latency target after which an idempotent
	// call without a response is sent to a second endpoint.
	hedgeDelayFactor = 0.6
	// minRemainingTime is the minimum time to the deadline at which a call is still sent.
	minRemainingTime = 5 * time.Millisecond
)

// sendResult is the result of sending a call to one endpoint.
type sendResult struct {
	endpoint  directory.Endpoint
	response  *Response
	err       error
	startTime time.Time
	cancel    context.CancelFunc
	run       run
}

// isInterrupted reports whether the endpoint may have started to run the call and sent no
// complete response.
func (s sendResult) isInterrupted() bool {
	return s.err != nil && !errors.Is(s.err, connection.ErrNotSent)
}

// plainRun manages the sends of one plain call.
type plainRun struct {
	relay   *Relay
	job     *job
	tried   map[string]bool
	results chan sendResult
	pending map[string]context.CancelFunc
	// errorResult is the error response of an endpoint. It is forwarded if no other
	// endpoint succeeds.
	errorResult *sendResult
}

// servePlain sends a call to a plain endpoint. It sends the call to further endpoints
// where the route allows it and an endpoint did not run the call, failed, or takes long.
func (r *Relay) servePlain(ctx context.Context, j *job) error {
	if err := r.admitToCapacity(j); err != nil {
		return err
	}
	run := &plainRun{
		relay: r, job: j, tried: map[string]bool{},
		results: make(chan sendResult, maxPlainSends), pending: map[string]context.CancelFunc{},
	}
	defer run.close()
	if err := run.send(ctx); err != nil {
		return err
	}
	return run.waitForResponse(ctx)
}

// close cancels the sends whose response is not needed. Responses that arrive nevertheless are
// closed, since each of them occupies a connection.
func (p *plainRun) close() {
	for _, cancel := range p.pending {
		cancel()
	}
	if unused := len(p.pending); unused > 0 {
		go func() {
			for range unused {
				if s := <-p.results; s.response != nil {
					_ = s.response.Body.Close()
				}
			}
		}()
	}
	if p.errorResult != nil {
		_ = p.errorResult.response.Body.Close()
		p.errorResult.cancel()
	}
}

// send starts a send to one more endpoint.
func (p *plainRun) send(ctx context.Context) error {
	r, j := p.relay, p.job
	now := r.config.Now()
	if _, err := r.checkVerdict(j); err != nil {
		return err
	}
	if j.deadline.Sub(now) < minRemainingTime {
		return &Fault{Cause: CauseTooLate, RetryAfter: rejectionRetryAfter}
	}
	endpoint, ok := p.acquireEndpoint(ctx)
	if !ok {
		return r.noEndpointFault(now, j.service.Name)
	}
	now = r.config.Now()
	if !r.acquireSend(ctx, j) {
		r.reportOutcome(now, j, endpoint, balance.Cancelled, 0)
		return &Fault{Cause: CauseFull, RetryAfter: rejectionRetryAfter}
	}
	options := SendOptions{LastEvent: j.call.LastEvent, Timeout: j.deadline.Sub(now)}
	if err := r.authorize(j, &options); err != nil {
		r.reportOutcome(now, j, endpoint, balance.Cancelled, 0)
		return err
	}
	p.tried[endpoint.Name] = true
	j.sends++
	j.endpoint = endpoint.Name
	ctx, cancel := context.WithCancel(ctx)
	p.pending[endpoint.Name] = cancel
	run := r.beginRun(j, endpoint, StagePlain, false)
	// The body of the call is dropped when another send has got the response.
	call := *j.call
	go func() {
		ctx, span := startHop(ctx, "relay send", endpoint.Name)
		defer span.End()
		response, err := r.send(ctx, endpoint, &call, options)
		if err == nil && response.Status < http.StatusInternalServerError && !response.NotRun {
			if err = bufferResponse(response, r.config.Buffers); err != nil {
				_ = response.Body.Close()
			}
		}
		result := sendResult{endpoint: endpoint, response: response, err: err, startTime: now, cancel: cancel, run: run}
		r.reportSendResult(ctx, j, result)
		if result.isInterrupted() {
			p.checkForCrash(ctx, result)
		}
		p.results <- result
	}()
	return nil
}

// acquireEndpoint chooses an endpoint that may get a request now, and counts a request in flight
// there. Endpoints at their rate limits count as tried.
func (p *plainRun) acquireEndpoint(ctx context.Context) (directory.Endpoint, bool) {
	r, j := p.relay, p.job
	for {
		now := r.config.Now()
		endpoint, ok := r.chooseEndpoint(now, j, p.tried)
		if !ok || r.acquirePermit(ctx, j, endpoint) {
			return endpoint, ok
		}
		r.reportOutcome(now, j, endpoint, balance.Cancelled, 0)
		p.tried[endpoint.Name] = true
	}
}

// checkForCrash determines whether the endpoint of an interrupted run has crashed. Only a
// call that may be retried waits for the result.
func (p *plainRun) checkForCrash(ctx context.Context, s sendResult) {
	if ctx.Err() != nil {
		s.run.keepInterrupted()
		return
	}
	if !p.job.route.IsRetryable() {
		ctx = context.WithoutCancel(ctx)
		go s.run.handleInterruption(ctx, s.err)
		return
	}
	limitedCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s.run.handleInterruption(limitedCtx, s.err)
}

// plainCrashLimit is the crash score at which a call is no longer retried for its caller,
// because the next endpoint would probably crash too.
const plainCrashLimit = 2

// mayRetry reports whether the call may go to one more endpoint.
func (p *plainRun) mayRetry() bool {
	j := p.job
	return j.runs+len(p.pending) < j.route.MaxAttempts && j.sends < maxPlainSends && p.relay.crashScore(j) < plainCrashLimit
}

// randomFraction returns a random number in [0, 1).
func (r *Relay) randomFraction() float64 {
	// A float64 has a mantissa of 53 bits.
	return float64(r.config.Random()>>11) / (1 << 53)
}

// chooseEndpoint returns the best endpoint of a call's service and counts a request in flight
// there.
func (r *Relay) chooseEndpoint(now time.Time, j *job, tried map[string]bool) (directory.Endpoint, bool) {
	serving := r.config.State().Serving(j.service.Name)
	if j.version != "" {
		serving = slices.DeleteFunc(slices.Clone(serving), func(e directory.Endpoint) bool { return e.Version != j.version })
	}
	candidates := make([]balance.Candidate, len(serving))
	for i, e := range serving {
		candidates[i] = balance.Candidate{
			Name: e.Name, Places: e.Places, Local: e.AvailabilityZone == r.config.AvailabilityZone,
			HeldOff: r.isClosed(now, j, e), Limited: r.config.Limits.IsLimited(e.Name, e.Born),
			Preferred: r.config.Limits.NeedsRefresh(now, e.Name, e.Born),
		}
		r.addEstimate(now, e, &candidates[i])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := r.balancer.Choose(now, candidates, tried, r.randomFraction())
	if chosen < 0 {
		return directory.Endpoint{}, false
	}
	r.balancer.RecordStart(serving[chosen].Name)
	if r.config.Capacity != nil {
		r.config.Capacity.RecordStart(now, serving[chosen])
	}
	return serving[chosen], true
}

// reportSendResult reports the outcome of a send to the balancer.
func (r *Relay) reportSendResult(ctx context.Context, j *job, s sendResult) {
	outcome := balance.Succeeded
	switch {
	case errors.Is(s.err, connection.ErrLimit):
		outcome = balance.Rejected
	case errors.Is(s.err, connection.ErrNotSent):
		outcome = balance.Unreachable
	case errors.Is(context.Cause(ctx), context.Canceled) && s.err != nil:
		outcome = balance.Cancelled
	case s.err != nil:
		outcome = balance.Failed
	case s.response.NotRun || s.response.Misdirected:
		outcome = balance.Rejected
	case s.response.Status >= http.StatusInternalServerError:
		outcome = balance.Failed
	}
	now := r.config.Now()
	r.reportOutcome(now, j, s.endpoint, outcome, now.Sub(s.startTime))
}

// reportOutcome reports the end of a request to the balancer.
func (r *Relay) reportOutcome(now time.Time, j *job, endpoint directory.Endpoint, outcome balance.Outcome, took time.Duration) {
	r.recordEvidence(now, endpoint, outcome, took)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordOutcome(now, endpoint.Name, outcome, took, j.route.Target)
}

// waitForResponse waits for a response that can be forwarded, and forwards it.
func (p *plainRun) waitForResponse(ctx context.Context) error {
	j := p.job
	hedgeTimer := time.NewTimer(time.Duration(hedgeDelayFactor * float64(j.route.Target)))
	defer hedgeTimer.Stop()
	for len(p.pending) > 0 {
		select {
		case <-ctx.Done():
			j.mayHaveRun = true
			return context.Cause(ctx)
		case <-hedgeTimer.C:
			if verdict, _ := p.relay.checkVerdict(j); j.route.IsRetryable() && p.mayRetry() && verdict == poison.VerdictClear {
				if err := p.send(ctx); err == nil {
					p.relay.config.Log.Info("call is sent to a second endpoint", "request_id", j.call.ID, "endpoint", j.endpoint)
				}
			}
		case s := <-p.results:
			delete(p.pending, s.endpoint.Name)
			done, err := p.handleResult(ctx, s)
			if done {
				return err
			}
		}
	}
	if p.errorResult != nil {
		result := p.errorResult
		p.errorResult = nil
		defer result.cancel()
		p.releaseBody()
		j.endpoint, j.framing = result.endpoint.Name, result.response.Framing
		return j.writer.forward(result.response)
	}
	if j.mayHaveRun {
		return &Fault{Cause: CauseEndpointFailed}
	}
	return &Fault{Cause: CauseFull, RetryAfter: rejectionRetryAfter}
}

// handleResult handles the result of one send. It reports whether the call is finished.
func (p *plainRun) handleResult(ctx context.Context, s sendResult) (bool, error) {
	j := p.job
	switch {
	case errors.Is(s.err, connection.ErrNotSent):
		s.cancel()
	case s.err != nil:
		s.cancel()
		j.mayHaveRun = true
		j.runs++
		if !j.route.IsRetryable() {
			return true, s.err
		}
	case s.response.NotRun || s.response.Misdirected:
		_ = s.response.Body.Close()
		s.cancel()
	case s.response.Status >= http.StatusInternalServerError && j.route.IsRetryable():
		j.mayHaveRun = true
		j.runs++
		p.keepErrorResult(s)
	default:
		defer s.cancel()
		j.mayHaveRun = true
		j.runs++
		j.endpoint, j.framing = s.endpoint.Name, s.response.Framing
		p.releaseBody()
		err := j.writer.forward(s.response)
		switch {
		case err == nil && isSuccess(s.response):
			s.run.recordCompletion()
		case errors.Is(err, connection.ErrBroken):
			s.run.handleInterruption(ctx, err)
		}
		return true, err
	}
	p.logFailedSend(s)
	if p.mayRetry() && ctx.Err() == nil {
		if err := p.send(ctx); err != nil && len(p.pending) == 0 && p.errorResult == nil {
			return true, err
		}
	}
	return false, nil
}

// releaseBody releases the body of the call before its response is forwarded, which may take long. It
// keeps the body while another send may use it.
func (p *plainRun) releaseBody() {
	if len(p.pending) == 0 {
		p.job.releaseBody()
	}
}

// keepErrorResult keeps the latest error response of an endpoint.
func (p *plainRun) keepErrorResult(s sendResult) {
	if p.errorResult != nil {
		_ = p.errorResult.response.Body.Close()
		p.errorResult.cancel()
	}
	p.errorResult = &s
}

func (p *plainRun) logFailedSend(s sendResult) {
	fields := []any{"request_id", p.job.call.ID, "endpoint", s.endpoint.Name, "took_ms", p.relay.config.Now().Sub(s.startTime).Milliseconds()}
	if s.err != nil {
		fields = append(fields, "error", s.err.Error())
	} else {
		fields = append(fields, "status", s.response.Status, "not_run", s.response.NotRun)
	}
	p.relay.config.Log.Info("endpoint did not serve the call", fields...)
}
