package daemon

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"
)

// serviceFunc adapts a function to a supervised service.
type serviceFunc func(ctx context.Context) error

// Serve calls f.
func (f serviceFunc) Serve(ctx context.Context) error { return f(ctx) }

// branch is a named group of services in the supervisor tree.
type branch struct {
	name     string
	services []suture.Service
}

// newTree returns a supervisor of branches, each of which restarts its services when
// they fail.
func newTree(log logr.Logger, branches []branch) *suture.Supervisor {
	logEvent := func(event suture.Event) {
		log.Info("supervisor reported an event", "event", event.String())
	}
	root := suture.New("turmerictided", suture.Spec{EventHook: logEvent})
	for _, b := range branches {
		supervisor := suture.New(b.name, suture.Spec{EventHook: logEvent})
		for _, s := range b.services {
			supervisor.Add(s)
		}
		root.Add(supervisor)
	}
	return root
}
