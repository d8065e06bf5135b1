// Package blstandin holds what the stand-ins have in common: serving until a signal,
// and answers in JSON.
package blstandin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
)

// Serve listens and serves until the process receives SIGTERM or an interrupt. It
// returns nil then.
func Serve(srv *http.Server) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go stopOnSignal(srv, signals)
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func stopOnSignal(srv *http.Server, signals <-chan os.Signal) {
	<-signals
	// Serve returns before Shutdown does, so nobody is left to report its error to.
	_ = srv.Shutdown(context.Background())
}

// Respond writes a response with a body in JSON.
func Respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is sent by now, and a caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
