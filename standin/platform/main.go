package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
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
	go stopOnSignal(srv)
	logger.Info("serving", "address", args.Listen)
	if err := srv.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		logger.Error("serve", "error", err)
		os.Exit(1)
	}
}

func stopOnSignal(srv *http.Server) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	_ = srv.Shutdown(context.Background())
}
