package connection

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrBuffersFull is returned for a body while there is no memory for it.
var ErrBuffersFull = errors.New("buffers of requests are full")

// Buffers limits the total memory of the bodies of requests and of the parts of responses that wait
// for their callers. A body is kept until its request is finished, since it may be sent to more than
// one endpoint. It is read completely first, so that no endpoint waits for a caller that sends slowly.
//
// Above seven eighths of the limit, requests that wait and were not sent are given up, the least
// urgent first, among these the largest.
type Buffers struct {
	limit int64

	mu sync.Mutex
	// used includes responses and shedding, the memory of requests that were given up and have not
	// ended yet.
	used, responses, shedding int64
	// waiting contains the claims of requests that may be given up.
	waiting map[*Claim]struct{}
	// freed is closed when memory is released. It is nil if nobody waits for that.
	freed  chan struct{}
	counts BufferCounts
}

// BufferCounts are the numbers of requests without memory, since the start.
type BufferCounts struct {
	// Refused is the number of bodies that did not fit, Shed that of requests that were given up.
	Refused, Shed int64
}

// Claim is the memory of the body of one request. A nil Claim has none.
type Claim struct {
	buffers  *Buffers
	bytes    int64
	priority int
	onShed   func()
	isSent   bool
	isShed   bool
}

const (
	// bufferChunkBytes is the minimum memory of a body. A typical request fits in it.
	bufferChunkBytes = 16 << 10
	// responseShare is the inverse of the share of the limit that responses may use. The rest is for
	// requests, which must be accepted beside callers that do not read.
	responseShare = 2
	// responseRoomShare is the inverse of the share of the room for responses that one of them may
	// use. Many callers that read nothing then leave room for others.
	responseRoomShare = 16
	// sheddingNumerator and sheddingDenominator are the share of the limit above which waiting
	// requests are given up. The rest is for requests that arrive.
	sheddingNumerator, sheddingDenominator = 7, 8
)

// NewBuffers returns Buffers of limit bytes.
func NewBuffers(limit int64) *Buffers {
	return &Buffers{limit: limit, waiting: map[*Claim]struct{}{}}
}

// Read reads the body of a request as ReadClaimed does. The request is never given up.
func (b *Buffers) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, _, err := b.ReadClaimed(w, r, limit)
	return body, err
}

// ReadClaimed reads the body of a request, of limit bytes at most. The memory is released when the
// request's context is done or by the claim, or at once if there is not enough. Errors wrap *http.MaxBytesError for
// a body over the limit, ErrBuffersFull, or the error of reading the body.
func (b *Buffers) ReadClaimed(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Claim, error) {
	if r.Body == http.NoBody {
		return nil, nil, nil
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	claim := &Claim{buffers: b}
	defer func() { context.AfterFunc(r.Context(), claim.Release) }()
	var content []byte
	for {
		if len(content) == cap(content) {
			size := nextCapacity(cap(content), min(r.ContentLength, limit))
			if !claim.grow(int64(max(size, bufferChunkBytes))) {
				// The caller may go on to read the rest, for which it needs no memory.
				claim.Release()
				return nil, nil, errors.Newf("acquire memory for a body: %w", ErrBuffersFull)
			}
			grown := make([]byte, len(content), size)
			copy(grown, content)
			content = grown
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return claim.clip(content), claim, nil
		}
		if err != nil {
			return nil, nil, errors.Newf("read body: %w", err)
		}
	}
}

// nextCapacity returns the next capacity of the buffer of a body of a length, -1 if it is unknown. It
// grows with the part that has arrived, since a caller can state any length.
func nextCapacity(capacity int, length int64) int {
	next := max(bufferChunkBytes, capacity+max(capacity/4, bufferChunkBytes))
	if capacity == 0 {
		next = bufferChunkBytes
	}
	if rest := int(length) + 1; length >= int64(capacity) && rest < next {
		// The last byte of room receives the end of the body.
		return rest
	}
	return next
}

// grow acquires memory up to a number of bytes for the claim.
func (c *Claim) grow(bytes int64) bool {
	b := c.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	more := max(bytes-c.bytes, 0)
	if b.used+more > b.limit {
		b.counts.Refused++
		return false
	}
	b.used += more
	c.bytes += more
	return true
}

// clip releases the unused memory of a complete body. It copies the body if more than a minimum is
// unused.
func (c *Claim) clip(content []byte) []byte {
	if cap(content)-len(content) < bufferChunkBytes {
		return content
	}
	b := c.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := max(int64(len(content)), bufferChunkBytes)
	b.free(c.bytes - kept)
	c.bytes = kept
	return append(make([]byte, 0, len(content)), content...)
}

// Release releases the memory of a request whose body is no longer used. It may be called again.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	b := c.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isShed {
		b.shedding -= c.bytes
	}
	if c.bytes > 0 {
		b.free(c.bytes)
	}
	delete(b.waiting, c)
	c.bytes = 0
}

// free releases memory. mu must be held.
func (b *Buffers) free(bytes int64) {
	b.used -= bytes
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Wait lets a request be given up until Send is called. Priority 0 is the most urgent. onShed is called
// once if the request is given up, perhaps before Wait returns. It must not wait.
func (c *Claim) Wait(priority int, onShed func()) {
	if c == nil {
		return
	}
	b := c.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isSent || c.isShed || c.bytes == 0 {
		return
	}
	c.priority, c.onShed = priority, onShed
	b.waiting[c] = struct{}{}
	b.shed(b.limit / sheddingDenominator * sheddingNumerator)
}

// Send reports whether the request may be sent. It may not if it was given up. Otherwise it is not
// given up later.
func (c *Claim) Send() bool {
	if c == nil {
		return true
	}
	b := c.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isShed {
		return false
	}
	c.isSent = true
	delete(b.waiting, c)
	return true
}

// shed gives up waiting requests until the use without them is at most target. mu must be held.
func (b *Buffers) shed(target int64) {
	for b.used-b.shedding > target && len(b.waiting) > 0 {
		var worst *Claim
		for c := range b.waiting {
			if worst == nil || c.priority > worst.priority || (c.priority == worst.priority && c.bytes > worst.bytes) {
				worst = c
			}
		}
		delete(b.waiting, worst)
		worst.isShed = true
		b.shedding += worst.bytes
		b.counts.Shed++
		worst.onShed()
	}
}

// AcquireResponse acquires memory for a part of a response that already uses held bytes. If there is
// none, waiting requests are given up for it, whose memory is released later.
func (b *Buffers) AcquireResponse(bytes, held int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := b.limit/responseShare - b.responses
	if held+bytes > room/responseRoomShare {
		return false
	}
	if b.used+bytes > b.limit {
		b.shed(b.limit - bytes)
		return false
	}
	b.used += bytes
	b.responses += bytes
	return true
}

// ReleaseResponse releases memory of a response.
func (b *Buffers) ReleaseResponse(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responses -= bytes
	b.free(bytes)
}

// Freed returns a channel that is closed when memory is released.
func (b *Buffers) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// Used returns the memory in use, and the part of it that responses use.
func (b *Buffers) Used() (total, responses int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.responses
}

// Counts returns the numbers of requests without memory.
func (b *Buffers) Counts() BufferCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}
