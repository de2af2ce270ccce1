// Command yuccalb is the operators' command line of the gateway.
package main

import (
	"os"

	"github.com/yuccalb/yuccalb/internal/cli/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
