// Command standin runs a stand-in for an external system.
package main

import (
	"os"

	"github.com/turmerictide/turmerictide/standin"
)

func main() {
	os.Exit(standin.Run(os.Args, os.Stderr))
}
