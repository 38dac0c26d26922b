// Command turmerictided is the daemon, which routes requests to endpoints.
package main

import (
	"os"

	"github.com/turmerictide/turmerictide/pkg/command"
)

func main() {
	os.Exit(command.RunDaemon(os.Args, os.Stdout, os.Stderr))
}
