package daemon

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"
)

// part adapts a function to a supervised service.
type part func(ctx context.Context) error

// Serve runs the part.
func (p part) Serve(ctx context.Context) error { return p(ctx) }

// branch is a named part of the supervisor tree.
type branch struct {
	name  string
	parts []suture.Service
}

// newTree returns a supervisor of branches, each of which starts its parts
// again when they fail.
func newTree(log logr.Logger, branches []branch) *suture.Supervisor {
	logEvent := func(event suture.Event) {
		log.Info("part was started again", "event", event.String())
	}
	root := suture.New("turmerictided", suture.Spec{EventHook: logEvent})
	for _, b := range branches {
		supervisor := suture.New(b.name, suture.Spec{EventHook: logEvent})
		for _, p := range b.parts {
			supervisor.Add(p)
		}
		root.Add(supervisor)
	}
	return root
}
