// Command turmerictide is the command-line tool for operators.
package main

import (
	"os"

	"github.com/turmerictide/turmerictide/pkg/command"
)

func main() {
	os.Exit(command.RunTool(os.Args, os.Stdout, os.Stderr))
}
