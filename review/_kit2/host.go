package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is a machine: a node process and the server beside it.
type host struct {
	world   *world
	name    string
	zone    string
	service string
	sharded bool
	memory  int

	callerAddress, controlAddress, readyAddress, nodeAddress, operatorAddress, appAddress string

	node   *exec.Cmd
	server *server
	log    *os.File
}

// firstPort to lastPort are below the ports that the system gives to outgoing connections.
const firstPort, lastPort = 20000, 32000

// nextPort is the port that is tried next.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns a loopback address with a port that is free at the moment, another one
// each time.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", errors.New("no port is free")
}

func (w *world) newHost(name, zone, service string, sharded bool) (*host, error) {
	h := &host{world: w, name: name, zone: zone, service: service, sharded: sharded, memory: 284}
	for _, a := range []*string{&h.callerAddress, &h.controlAddress, &h.readyAddress, &h.nodeAddress, &h.operatorAddress, &h.appAddress} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	w.hosts = append(w.hosts, h)
	return h, nil
}

func (h *host) settings() string {
	var zones []string
	for _, z := range h.world.zones {
		zones = append(zones, fmt.Sprintf("%q", z))
	}
	return fmt.Sprintf(`host = %q
region = "sn-west"
failure_domain = %q
caller_listen = %q
upstream_listen = %q
ready_listen = %q
node_listen = %q
operator_listen = %q
store = %q
capacity = 0.32
memory_mb = %d
max_descriptors = 4100

[platform]
service = %q
upstream_address = %q
failure_domains = [%s]
upstream_heartbeat = "870ms"
shortest_lease = "1000ms"
longest_grant = "10000ms"
drain = "2000ms"
grace = "6s"
retry_ratio = 0.2
retry_reserve = 64
quota_excess = 0.1
quota_window = "5s"
quota_slack = 20
`, h.name, h.zone, h.callerAddress, h.controlAddress, h.readyAddress, h.nodeAddress, h.operatorAddress, h.world.store.address,
		h.memory, h.service, h.appAddress, strings.Join(zones, ","))
}

// startNode starts the node with the command of the deploy file.
func (h *host) startNode() error {
	path := filepath.Join(h.world.folder, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	if h.log == nil {
		var err error
		if h.log, err = os.Create(filepath.Join(h.world.folder, h.name+".log")); err != nil {
			return err
		}
	}
	h.node = exec.Command("target/bergamotlead", path)
	h.node.Dir, h.node.Stdout, h.node.Stderr = h.world.root, h.log, h.log
	h.node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.node.Start()
}

func (h *host) killNode() {
	if h.node != nil {
		_ = h.node.Process.Kill()
		_ = h.node.Wait()
		h.node = nil
	}
}

func (h *host) startServer(id string) error {
	s, err := newServer(h.world, h, id)
	h.server = s
	return err
}

func (h *host) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.readyAddress + "/bergamotlead/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
