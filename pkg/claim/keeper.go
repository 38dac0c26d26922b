package claim

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/store"
)

// Topics of the messages between daemons and the keeper of a bucket.
const (
	TopicWrite  = "claim_write"
	TopicResult = "claim_result"
)

type wireWrite struct {
	_      struct{} `cbor:",toarray"`
	Serial uint64
	Key    Key
	Expect store.Revision
	Record Record
}

type wireResult struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint64
	Failed  bool
	Written bool
	// Current is set only if the record was not written.
	Current  *Record
	Revision store.Revision
}

// keeperTimeout limits the wait for a keeper. Then the front commits the write itself.
const keeperTimeout = 1200 * time.Millisecond

type Config struct {
	Host string
	Mesh *link.Mesh
	Log  logr.Logger
	// Hosts returns the live daemons of all zones.
	Hosts func() []string
}

// Keeper forwards writes to the daemon that is the keeper of their bucket, and
// commits the writes that other daemons forward to this one.
type Keeper struct {
	config    Config
	committer *Committer
	serial    atomic.Uint64
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	pending map[uint64]chan wireResult
}

// NewKeeper returns a Keeper that commits through committer.
func NewKeeper(config Config, committer *Committer) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{config: config, committer: committer, ctx: ctx, cancel: cancel, pending: map[uint64]chan wireResult{}}
	// A result for an earlier incarnation of this host must match no serial of this one.
	k.serial.Store(rand.Uint64())
	return k
}

// Close cancels the writes that this daemon commits for others.
func (k *Keeper) Close() {
	k.cancel()
}

// Route adds the message handlers to a router.
func (k *Keeper) Route(router *message.Router) {
	router.AddConsumerHandler(TopicWrite, TopicWrite, k.config.Mesh, k.handleWrite)
	router.AddConsumerHandler(TopicResult, TopicResult, k.config.Mesh, k.handleResult)
}

// Write makes a conditional write through the keeper of its bucket, or locally if
// the keeper fails or does not reply in time. Its errors are those of
// Committer.Submit.
func (k *Keeper) Write(ctx context.Context, write Write) (Result, error) {
	keeper := shard.Owner("claim/"+strconv.Itoa(write.Key.Bucket()), k.config.Hosts())
	if keeper != "" && keeper != k.config.Host {
		result, err := k.requestWrite(ctx, keeper, write)
		if err == nil {
			return result, nil
		}
		k.config.Log.V(1).Info("claims keeper did not reply", "host", keeper, "error", err.Error())
	}
	return k.committer.Submit(ctx, write)
}

// Lookup reads the record of a key from the store, as Committer.Lookup does.
func (k *Keeper) Lookup(ctx context.Context, key Key) (Record, store.Revision, error) {
	return k.committer.Lookup(ctx, key)
}

// requestWrite forwards a write to another daemon and waits for its result.
func (k *Keeper) requestWrite(parent context.Context, host string, write Write) (Result, error) {
	ctx, cancel := context.WithTimeout(parent, keeperTimeout)
	defer cancel()
	serial := k.serial.Add(1)
	reply := make(chan wireResult, 1)
	k.mu.Lock()
	k.pending[serial] = reply
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.pending, serial)
		k.mu.Unlock()
	}()
	k.send(host, TopicWrite, wireWrite{Serial: serial, Key: write.Key, Expect: write.Expect, Record: write.Record})
	select {
	case <-ctx.Done():
		return Result{}, errors.Newf("await keeper %s: %w", host, ctx.Err())
	case wire := <-reply:
		if wire.Failed {
			return Result{}, errors.Newf("keeper %s failed", host)
		}
		result := Result{Written: wire.Written, Current: write.Record, Revision: wire.Revision}
		if wire.Current != nil {
			result.Current = *wire.Current
		}
		return result, nil
	}
}

func (k *Keeper) send(host, topic string, body any) {
	payload, err := link.Encode(body)
	if err != nil {
		k.config.Log.Error(err, "message was not encoded", "topic", topic)
		return
	}
	if err := k.config.Mesh.Publish(topic, link.NewMessage(host, payload, trace.SpanContext{})); err != nil {
		k.config.Log.V(1).Info("message was dropped", "topic", topic, "host", host, "error", err.Error())
	}
}

// handleWrite commits a write for another daemon in the background and sends the result.
func (k *Keeper) handleWrite(m *message.Message) error {
	var wire wireWrite
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	host := link.Host(m)
	go func() {
		result, err := k.committer.Submit(k.ctx, Write{Key: wire.Key, Expect: wire.Expect, Record: wire.Record})
		reply := wireResult{Serial: wire.Serial, Failed: err != nil, Written: result.Written, Revision: result.Revision}
		if !result.Written {
			reply.Current = &result.Current
		}
		k.send(host, TopicResult, reply)
	}()
	return nil
}

func (k *Keeper) handleResult(m *message.Message) error {
	var wire wireResult
	if err := link.Decode(m.Payload, &wire); err != nil {
		return nil
	}
	k.mu.Lock()
	reply, ok := k.pending[wire.Serial]
	k.mu.Unlock()
	if ok {
		select {
		case reply <- wire:
		default:
		}
	}
	return nil
}
