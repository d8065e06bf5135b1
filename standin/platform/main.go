package main

import (
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"bergamotlead/standin/blstandin"
)

const headerTimeout = 5 * time.Second

type arguments struct {
	Listen string `default:"127.0.0.1:7400" help:"IP address and port to listen on."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("A stand-in for the platform's key-value store."))
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin-platform", JSONFormat: true})
	srv := &http.Server{Addr: args.Listen, Handler: newHandler(newState()), ReadHeaderTimeout: headerTimeout}
	logger.Info("serving", "address", args.Listen)
	if err := blstandin.Serve(srv); err != nil {
		logger.Error("serve", "error", err)
		os.Exit(1)
	}
}
