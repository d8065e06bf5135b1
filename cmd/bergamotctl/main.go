// Command bergamotctl is the command-line tool for operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Node      string `default:"127.0.0.1:8003" env:"BERGAMOTCTL_NODE" help:"Address of a node's operators' listener."`
	TokenFile string `env:"BERGAMOTCTL_TOKEN_FILE" help:"File with the operators' token." type:"path"`
	Output    string `default:"table" enum:"table,json" help:"Output format: table or json."`

	Status     statusCommand     `cmd:"" help:"Show the state of a node."`
	Assignment assignmentCommand `cmd:"" help:"Show the owners of a service's partitions."`
	Config     configCommands    `cmd:"" help:"Check, explain, show and change the configuration."`
	Key        keyCommands       `cmd:"" help:"Issue and withdraw client keys."`
	Domain     domainCommands    `cmd:"" help:"Take a failure domain out of service and put it back."`
	Upstream   upstreamCommands  `cmd:"" help:"Drain an upstream and end its drain."`
	Host       hostCommands      `cmd:"" help:"Declare that a host is permanently lost."`

	ExplainRequest requestCommand `cmd:"" help:"Show the log lines of all nodes about a request, in order of time."`
}

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Description("Operates a bergamotlead deployment."), kong.UsageOnError())
	if err := parser.Run(newClient(args)); err != nil {
		fmt.Fprintln(os.Stderr, "bergamotctl:", err)
		os.Exit(exitCode(err))
	}
}
