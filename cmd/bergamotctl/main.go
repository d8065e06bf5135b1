// Command bergamotctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Node      string `default:"127.0.0.1:8003" env:"BERGAMOTCTL_NODE" help:"Address of a node's operators' listener."`
	TokenFile string `env:"BERGAMOTCTL_TOKEN_FILE" help:"File with the operators' token." type:"path"`
	Output    string `default:"table" enum:"table,json" help:"Form of the output: table or json."`

	Status     statusCommand     `cmd:"" help:"Show the state of a node."`
	Assignment assignmentCommand `cmd:"" help:"Show the owners of a service's partitions."`
	Config     configCommands    `cmd:"" help:"Check, explain, show and change the configuration."`
	Key        keyCommands       `cmd:"" help:"Issue and withdraw client keys."`
	Domain     domainCommands    `cmd:"" help:"Take a failure domain out and back."`
	Upstream   upstreamCommands  `cmd:"" help:"Drain an upstream and take it back."`
	Host       hostCommands      `cmd:"" help:"Tell that a host will not come back."`

	ExplainRequest requestCommand `cmd:"" help:"Put what the nodes' logs say of a request in order."`
}

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Description("Operates a bergamotlead deployment."), kong.UsageOnError())
	if err := parser.Run(newClient(args)); err != nil {
		fmt.Fprintln(os.Stderr, "bergamotctl:", err)
		os.Exit(exitCode(err))
	}
}
