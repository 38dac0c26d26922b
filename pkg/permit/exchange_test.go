package permit_test

import (
	"sync"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/permit"
)

// TestReplyToAnEarlierIncarnationGrantsNoPermit passes the keeper's replies to the first request of
// a host to its next incarnation, while that one waits for a reply to its first request.
func TestReplyToAnEarlierIncarnationGrantsNoPermit(t *testing.T) {
	var mu sync.Mutex
	var current *permit.Exchange
	var replies [][]byte
	config := permit.Config{
		Host: "edge-1", RequestTopic: "request", ReplyTopic: "reply", Keeper: func(string) string { return "edge-2" },
		DeniedCooldown: func(string) time.Duration { return 0 }, Now: time.Now, Log: logr.Discard(),
	}
	keeper := permit.NewExchange(permit.Config{
		Host: "edge-2", RequestTopic: "request", ReplyTopic: "reply", Now: time.Now, Log: logr.Discard(),
		Grant: func(time.Time, string, float64) bool { return true },
		Publish: func(_ string, messages ...*message.Message) error {
			mu.Lock()
			defer mu.Unlock()
			for _, m := range messages {
				replies = append(replies, m.Payload)
			}
			return nil
		},
	})
	oneRequest := func(time.Time) float64 { return 1 }
	answers := true
	config.Publish = func(topic string, messages ...*message.Message) error {
		for _, m := range messages {
			if answers {
				require.NoError(t, keeper.Handle(topic, link.NewMessage("edge-1", m.Payload, trace.SpanContext{})))
			}
			mu.Lock()
			late := replies
			mu.Unlock()
			for _, payload := range late {
				require.NoError(t, current.Handle("reply", link.NewMessage("edge-2", payload, trace.SpanContext{})))
			}
		}
		return nil
	}
	current = permit.NewExchange(config)
	require.Equal(t, permit.Granted, current.Acquire(t.Context(), "desk-1", oneRequest))
	answers = false
	current = permit.NewExchange(config)
	require.Equal(t, permit.NoReply, current.Acquire(t.Context(), "desk-1", oneRequest))
}
