package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/balance"
	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

const (
	// maxSends bounds the endpoints that one call is sent to.
	maxSends = 3
	// hedgeTargets is the part of the latency target after which an idempotent
	// call that has no answer is sent to a second endpoint.
	hedgeTargets = 0.6
	// leastLeft is the time below which a call is not sent any more.
	leastLeft = 5 * time.Millisecond
)

// sent is what became of one sending of a call.
type sent struct {
	endpoint directory.Endpoint
	reply    *Reply
	err      error
	at       time.Time
	cancel   context.CancelFunc
	run      run
}

// isBroken reports whether the endpoint may have begun to run the call, and broke off.
func (s sent) isBroken() bool {
	return s.err != nil && !errors.Is(s.err, connection.ErrNotSent)
}

// plainRun drives the sendings of one plain call.
type plainRun struct {
	relay   *Relay
	job     *job
	tried   map[string]bool
	results chan sent
	pending map[string]context.CancelFunc
	// failed is an endpoint's own failure, passed on when nothing better comes.
	failed *sent
}

// servePlain sends a call to a plain endpoint, and to a second one where that is
// allowed and the first did not run it, failed, or takes long.
func (r *Relay) servePlain(ctx context.Context, j *job) error {
	run := &plainRun{
		relay: r, job: j, tried: map[string]bool{},
		results: make(chan sent, maxSends), pending: map[string]context.CancelFunc{},
	}
	defer run.close()
	if err := run.send(ctx); err != nil {
		return err
	}
	return run.await(ctx)
}

// close ends the sendings whose answer is not needed.
func (p *plainRun) close() {
	for _, cancel := range p.pending {
		cancel()
	}
	if p.failed != nil {
		_ = p.failed.reply.Body.Close()
		p.failed.cancel()
	}
}

// send starts one more sending.
func (p *plainRun) send(ctx context.Context) error {
	r, j := p.relay, p.job
	now := r.config.Now()
	if _, err := r.judgeRequest(j); err != nil {
		return err
	}
	if j.until.Sub(now) < leastLeft {
		return &Fault{Cause: CauseTooLate, RetryAfter: refusalRetryAfter}
	}
	endpoint, ok := r.choose(now, j.service.Name, p.tried)
	if !ok {
		return &Fault{Cause: CauseNoEndpoint, RetryAfter: refusalRetryAfter}
	}
	if !r.mayArrive(ctx, j) {
		r.judge(now, endpoint.Name, balance.Cancelled, 0)
		return &Fault{Cause: CauseFull, RetryAfter: refusalRetryAfter}
	}
	p.tried[endpoint.Name] = true
	j.sends++
	j.endpoint = endpoint.Name
	ctx, cancel := context.WithCancel(ctx)
	p.pending[endpoint.Name] = cancel
	run := r.beginRun(j, endpoint, StagePlain, false)
	go func() {
		ctx, span := startHop(ctx, "relay send", endpoint.Name)
		defer span.End()
		reply, err := r.config.Endpoints.Send(ctx, endpoint, j.call, Order{LastEvent: j.call.LastEvent, Left: j.until.Sub(now)})
		if err == nil && reply.Status < http.StatusInternalServerError && !reply.NotRun {
			if err = bufferReply(reply); err != nil {
				_ = reply.Body.Close()
			}
		}
		result := sent{endpoint: endpoint, reply: reply, err: err, at: now, cancel: cancel, run: run}
		r.judgePlain(ctx, result)
		if result.isBroken() {
			p.look(ctx, result)
		}
		p.results <- result
	}()
	return nil
}

// look finds out whether the endpoint of a broken run has ended. Only a call that may be
// sent again waits for that.
func (p *plainRun) look(ctx context.Context, s sent) {
	if ctx.Err() != nil {
		s.run.abandoned()
		return
	}
	if !p.job.route.IsRepeatable() {
		ctx = context.WithoutCancel(ctx)
		go s.run.broken(ctx, s.err)
		return
	}
	limited, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	s.run.broken(limited, s.err)
}

// maxPlainCrashes is the number of crashes under a call from which it is not sent again for
// its caller: the next endpoint would likely end too.
const maxPlainCrashes = 2

// mayResend reports whether the call may go to one more endpoint.
func (p *plainRun) mayResend() bool {
	j := p.job
	return j.runs+len(p.pending) < j.route.MaxAttempts && j.sends < maxSends && p.relay.crashesOf(j) < maxPlainCrashes
}

// choose returns the best endpoint of a service and books a request there.
func (r *Relay) choose(now time.Time, service string, tried map[string]bool) (directory.Endpoint, bool) {
	serving := r.config.State().Serving(service)
	candidates := make([]balance.Candidate, len(serving))
	for i, e := range serving {
		_, heldOff := r.config.Holdoffs.Until(now, e.Name, e.Born)
		candidates[i] = balance.Candidate{
			Name: e.Name, Places: e.Places, Local: e.AvailabilityZone == r.config.AvailabilityZone, HeldOff: heldOff,
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := r.balancer.Choose(now, candidates, tried, rand.Float64())
	if chosen < 0 {
		return directory.Endpoint{}, false
	}
	r.balancer.RecordStart(serving[chosen].Name)
	return serving[chosen], true
}

// judgePlain tells the balancer what became of a sending.
func (r *Relay) judgePlain(ctx context.Context, s sent) {
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
	case s.reply.NotRun || s.reply.Misdirected:
		outcome = balance.Rejected
	case s.reply.Status >= http.StatusInternalServerError:
		outcome = balance.Failed
	}
	now := r.config.Now()
	r.judge(now, s.endpoint.Name, outcome, now.Sub(s.at))
}

// judge tells the balancer that a request has ended.
func (r *Relay) judge(now time.Time, endpoint string, outcome balance.Outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordOutcome(now, endpoint, outcome, took)
}

// await waits for an answer to pass on.
func (p *plainRun) await(ctx context.Context) error {
	j := p.job
	hedge := time.NewTimer(time.Duration(hedgeTargets * float64(j.route.Target)))
	defer hedge.Stop()
	for len(p.pending) > 0 {
		select {
		case <-ctx.Done():
			j.mayHaveRun = true
			return context.Cause(ctx)
		case <-hedge.C:
			if verdict, _ := p.relay.judgeRequest(j); j.route.IsRepeatable() && p.mayResend() && verdict == poison.VerdictClear {
				if err := p.send(ctx); err == nil {
					p.relay.config.Log.Info("call is sent to a second endpoint", "request_id", j.call.ID, "endpoint", j.endpoint)
				}
			}
		case s := <-p.results:
			delete(p.pending, s.endpoint.Name)
			done, err := p.take(ctx, s)
			if done {
				return err
			}
		}
	}
	if p.failed != nil {
		failed := p.failed
		p.failed = nil
		defer failed.cancel()
		j.endpoint = failed.endpoint.Name
		return j.answer.pass(failed.reply)
	}
	if j.mayHaveRun {
		return &Fault{Cause: CauseEndpointFailed}
	}
	return &Fault{Cause: CauseFull, RetryAfter: refusalRetryAfter}
}

// take looks at the result of one sending. It reports whether the call is done.
func (p *plainRun) take(ctx context.Context, s sent) (bool, error) {
	j := p.job
	switch {
	case errors.Is(s.err, connection.ErrNotSent):
		s.cancel()
	case s.err != nil:
		s.cancel()
		j.mayHaveRun = true
		j.runs++
		if !j.route.IsRepeatable() {
			return true, s.err
		}
	case s.reply.NotRun || s.reply.Misdirected:
		_ = s.reply.Body.Close()
		s.cancel()
	case s.reply.Status >= http.StatusInternalServerError && j.route.IsRepeatable():
		j.mayHaveRun = true
		j.runs++
		p.keepFailed(s)
	default:
		defer s.cancel()
		j.mayHaveRun = true
		j.runs++
		j.endpoint = s.endpoint.Name
		err := j.answer.pass(s.reply)
		if err == nil {
			s.run.completed()
		} else if errors.Is(err, connection.ErrBroken) {
			s.run.broken(ctx, err)
		}
		return true, err
	}
	p.logRetry(s)
	if p.mayResend() && ctx.Err() == nil {
		if err := p.send(ctx); err != nil && len(p.pending) == 0 && p.failed == nil {
			return true, err
		}
	}
	return false, nil
}

// keepFailed keeps the latest failure that an endpoint answered.
func (p *plainRun) keepFailed(s sent) {
	if p.failed != nil {
		_ = p.failed.reply.Body.Close()
		p.failed.cancel()
	}
	p.failed = &s
}

func (p *plainRun) logRetry(s sent) {
	fields := []any{"request_id", p.job.call.ID, "endpoint", s.endpoint.Name, "took_ms", p.relay.config.Now().Sub(s.at).Milliseconds()}
	if s.err != nil {
		fields = append(fields, "error", s.err.Error())
	} else {
		fields = append(fields, "status", s.reply.Status, "not_run", s.reply.NotRun)
	}
	p.relay.config.Log.Info("endpoint did not serve the call", fields...)
}
