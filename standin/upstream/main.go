package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"bergamotlead/standin/blstandin"
)

const (
	headerTimeout    = 10 * time.Second
	announceInterval = 150 * time.Millisecond
)

type arguments struct {
	Name        string        `required:"" help:"Name of the upstream."`
	Service     string        `required:"" help:"Service that it is part of."`
	Exclusive   bool          `help:"The service is partitioned by key."`
	Listen      string        `required:"" help:"IP address and port to listen on."`
	Node        string        `help:"Address at which the local node accepts announcements."`
	Slots       int           `default:"6" help:"Concurrent requests when warm."`
	ColdSlots   int           `default:"2" help:"Concurrent requests in cold start."`
	ColdFor     time.Duration `help:"Duration of the cold start."`
	ServiceTime time.Duration `default:"5ms" help:"Time to execute a request."`
	ChecksFence bool          `help:"Refuse orders that the grant does not cover."`
	LogFile     string        `help:"File to which accepted work is logged."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("A stand-in for an upstream."))
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin-upstream", JSONFormat: true})
	s, err := newServer(args)
	if err != nil {
		logger.Error("start", "error", err)
		os.Exit(1)
	}
	srv := &http.Server{Addr: args.Listen, Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	if args.Node != "" {
		announcer := &announcer{server: s, incarnation: uuid.NewString(), client: &http.Client{Timeout: time.Second}}
		go announcer.run()
	}
	logger.Info("serving", "address", args.Listen, "name", args.Name)
	if err := blstandin.Serve(srv); err != nil {
		logger.Error("serve", "error", err)
		os.Exit(1)
	}
}

// announcer announces the upstream to the local node periodically.
type announcer struct {
	server      *server
	incarnation string
	client      *http.Client
}

func (a *announcer) run() {
	for {
		a.announce()
		time.Sleep(announceInterval)
	}
}

func (a *announcer) announce() {
	s := a.server
	s.mu.Lock()
	f := s.faults
	load := s.active
	cold := time.Now().Before(s.coldUntil) && !f.HideCold
	s.mu.Unlock()
	if f.Silent {
		return
	}
	if f.FalseLoad != 0 {
		load = f.FalseLoad
	}
	body, _ := json.Marshal(map[string]any{
		"name": s.args.Name, "incarnation": a.incarnation, "service": s.args.Service, "address": s.args.Listen,
		"slots": s.args.Slots, "checks_fence": s.args.ChecksFence, "clock_ms": s.clockMS(),
		"cold": cold, "load": load, "leaving": f.Leaving,
	})
	request, err := http.NewRequestWithContext(
		context.Background(), http.MethodPost, "http://"+s.args.Node+"/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := a.client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
