// Command turmerictided is the daemon.
package main

import (
	"os"

	"github.com/turmerictide/turmerictide/pkg/command"
)

func main() {
	os.Exit(command.RunDaemon(os.Args, os.Stdout, os.Stderr))
}
