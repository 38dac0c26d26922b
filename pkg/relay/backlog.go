package relay

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// backlog contains the part of a response that the caller has not read yet, so that the endpoint need
// not wait for the caller. A goroutine writes it to the caller.
type backlog struct {
	writer *ResponseWriter
	// progress receives after each write to the caller.
	progress chan struct{}
	done     chan struct{}

	mu sync.Mutex
	// queue contains the parts that wait, counted the memory of the buffers that they and the part that
	// is being written use.
	queue   []part
	counted int64
	// wake is signalled when the queue grows or the response ends.
	wake *sync.Cond
	// isWriting is true while a part is written to the caller.
	isWriting bool
	// needsFlush is true if the response must be flushed after the queue.
	needsFlush bool
	isEnded    bool
	// endBy is the time by which the writes must be complete, zero before the response has ended.
	endBy time.Time
	err   error
}

// part is a part of a response.
type part struct {
	content *[partBytes]byte
	length  int
	// counted is the memory of the buffers that the part uses.
	counted int64
}

// parts are reused, since the allocation of all bytes that are relayed would let the heap grow between
// garbage collections.
var parts = sync.Pool{New: func() any { return new([partBytes]byte) }}

const (
	// synchronousBytes is the size up to which a response is written without a backlog. The buffer of
	// the socket has 16 KB or more, so these writes complete even when the caller reads nothing.
	synchronousBytes = 4 << 10
	partBytes        = 16 << 10
	// deliveryTimeout limits the time for which a caller may take nothing of a response that the
	// daemon has room for, and the delivery of the rest after the end of the route's timeout.
	deliveryTimeout = 30 * time.Second
)

// errNoRoom reports that a caller reads nothing and the daemon has no room for more of its response.
var errNoRoom = errors.New("caller reads nothing and there is no room for more")

func newBacklog(writer *ResponseWriter) *backlog {
	b := &backlog{writer: writer, progress: make(chan struct{}, 1), done: make(chan struct{})}
	b.wake = sync.NewCond(&b.mu)
	go b.run()
	return b
}

// add adds a copy of content. Without room it waits while the caller makes progress. A caller that
// has everything before always has room for one part.
func (b *backlog) add(content []byte) error {
	content, err := b.tryAdd(content)
	if err != nil || len(content) == 0 {
		return err
	}
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	for {
		freed := b.writer.buffers.Freed()
		content, err = b.tryAdd(content)
		if err != nil || len(content) == 0 {
			return err
		}
		select {
		case <-freed:
		case <-b.progress:
			timer.Reset(writeTimeout)
		case <-timer.C:
			return errNoRoom
		}
	}
}

// tryAdd adds as much of content as there is room for, and returns the rest.
func (b *backlog) tryAdd(content []byte) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && len(content) > 0 {
		last := len(b.queue) - 1
		if last < 0 || b.queue[last].length == partBytes {
			counted := int64(0)
			if last >= 0 || b.isWriting {
				counted = partBytes
			}
			if counted > 0 && !b.writer.buffers.AcquireResponse(counted, b.counted) {
				return content, nil
			}
			b.counted += counted
			b.queue = append(b.queue, part{content: parts.Get().(*[partBytes]byte), counted: counted})
			last++
		}
		p := &b.queue[last]
		n := copy(p.content[p.length:], content)
		p.length += n
		content = content[n:]
		b.wake.Signal()
	}
	return content, b.err
}

// flush makes the caller receive what was added.
func (b *backlog) flush() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.needsFlush = true
	b.wake.Signal()
	return b.err
}

// end waits until the caller has everything, until endBy at the latest.
func (b *backlog) end(endBy time.Time) error {
	b.mu.Lock()
	b.isEnded, b.needsFlush, b.endBy = true, true, endBy
	b.extendDeadline()
	b.wake.Signal()
	b.mu.Unlock()
	<-b.done
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// extendDeadline starts the timeout of a write. mu must be held.
func (b *backlog) extendDeadline() {
	deadline := b.writer.now().Add(deliveryTimeout)
	if b.isEnded && b.endBy.Before(deadline) {
		deadline = b.endBy
	}
	_ = b.writer.controller.SetWriteDeadline(deadline)
}

// run writes the parts to the caller until the response has ended or a write fails.
func (b *backlog) run() {
	defer close(b.done)
	for {
		p, isFlush, ok := b.next()
		if !ok {
			return
		}
		var err error
		if p.length > 0 {
			_, err = b.writer.writer.Write(p.content[:p.length])
		}
		if err == nil && isFlush {
			err = b.writer.controller.Flush()
		}
		b.written(p, err)
	}
}

// written records the end of a write. After an error, the rest of the response is dropped.
func (b *backlog) written(p part, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isWriting = false
	if p.content != nil {
		parts.Put(p.content)
	}
	released := p.counted
	if err != nil {
		b.err = errors.Newf("write to caller: %w", err)
		released, b.queue = b.counted, nil
	}
	b.counted -= released
	if released > 0 {
		b.writer.buffers.ReleaseResponse(released)
	}
	select {
	case b.progress <- struct{}{}:
	default:
	}
}

// next waits for the next part, which may be empty, and reports whether a flush must follow it. ok is
// false at the end.
func (b *backlog) next() (p part, isFlush, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.queue) == 0 && !b.needsFlush && !b.isEnded {
		b.wake.Wait()
	}
	if b.err != nil || (len(b.queue) == 0 && !b.needsFlush) {
		return part{}, false, false
	}
	if len(b.queue) > 0 {
		p = b.queue[0]
		b.queue[0] = part{}
		b.queue = b.queue[1:]
	}
	if len(b.queue) == 0 {
		isFlush, b.needsFlush = b.needsFlush, false
	}
	b.isWriting = true
	b.extendDeadline()
	return p, isFlush, true
}
