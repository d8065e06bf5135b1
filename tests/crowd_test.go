package bltests_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

const (
	// crowdMemoryMB is the memory of the host under test, in MiB: a node without load
	// uses about 30.
	crowdMemoryMB = 96
	// crowdDescriptors is the number of descriptors of the host under test, and
	// fewDescriptors that of the tests that are about descriptors.
	crowdDescriptors = 1024
	fewDescriptors   = 256
	// crowdAttempts is how often a client of a crowd connects: one that is refused or
	// whose connection is closed tries again.
	crowdAttempts = 3
	// crowdWriteTimeout ends the sending of a client whose bytes aren't read.
	crowdWriteTimeout = 2 * time.Second
	// crowdHold is how long a client keeps its connection open after it has sent all.
	crowdHold = 3 * time.Second
	pollWait  = 50 * time.Millisecond
	// ordinaryAccount sends the ordinary requests beside a crowd, whose account is another.
	ordinaryAccount = "thies_kiosk"
)

// crowd is a number of clients that behave in the same way. It stays connected until the
// test ends.
type crowd struct {
	name    string
	clients int
	// descriptors is the limit of the host under test.
	descriptors int
	// nodes is set for clients of the nodes' listener.
	nodes bool
	// returns is set for clients that connect again whenever their connection ends, until
	// the test ends.
	returns bool
	// send sends what one client sends before it falls silent.
	send func(c crowdClient) error
}

// crowdClient is one connection of a client.
type crowdClient struct {
	net.Conn

	number int
	key    string
	// stop is closed when the crowd ends.
	stop <-chan struct{}
}

// startLines returns the start of the head of a request.
func (c crowdClient) startLines() string {
	return fmt.Sprintf("POST /pot/crowd_%d/contributions HTTP/1.1\r\nHost: pots\r\nAuthorization: Bearer %s\r\n", c.number, c.key)
}

// crowdRun is a crowd in action against one host.
type crowdRun struct {
	crowd   crowd
	fleet   *fleet
	host    *blfleet.Host
	stop    chan struct{}
	clients sync.WaitGroup
	sent    sync.WaitGroup
	closed  atomic.Int64
}

func (f *fleet) startCrowd(c crowd, host *blfleet.Host) *crowdRun {
	r := &crowdRun{crowd: c, fleet: f, host: host, stop: make(chan struct{})}
	for number := range c.clients {
		r.sent.Add(1)
		r.clients.Go(func() { r.runClient(number) })
	}
	return r
}

// runClient connects and sends until the connection is still open after all was sent, at
// most crowdAttempts times.
func (r *crowdRun) runClient(number int) {
	if r.crowd.returns {
		r.runReturningClient(number)
		return
	}
	for attempt := range crowdAttempts {
		connection, open := r.connectAndSend(number)
		if open || attempt == crowdAttempts-1 {
			r.sent.Done()
			<-r.stop
		}
		if connection != nil {
			_ = connection.Close()
		}
		if open {
			return
		}
		r.closed.Add(1)
	}
}

// runReturningClient connects and sends again and again.
func (r *crowdRun) runReturningClient(number int) {
	for first := true; ; first = false {
		connection, _ := r.connectAndSend(number)
		if first {
			r.sent.Done()
		}
		if connection != nil {
			r.awaitEnd(connection)
		}
		r.closed.Add(1)
		select {
		case <-r.stop:
			return
		case <-time.After(pollWait):
		}
	}
}

// awaitEnd reads until the connection ends or the crowd does.
func (r *crowdRun) awaitEnd(connection net.Conn) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = connection.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, connection)
	}()
	select {
	case <-ended:
	case <-r.stop:
	}
	_ = connection.Close()
	<-ended
}

// connectAndSend reports whether the connection is open some time after all was sent.
func (r *crowdRun) connectAndSend(number int) (net.Conn, bool) {
	address := r.host.CallerAddress
	if r.crowd.nodes {
		address = r.host.NodeAddress
	}
	connection, err := net.DialTimeout("tcp", address, crowdWriteTimeout)
	if err != nil {
		return nil, false
	}
	_ = connection.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	client := crowdClient{Conn: connection, number: number, key: r.fleet.ClientKeys[account], stop: r.stop}
	_ = r.crowd.send(client)
	_ = connection.SetReadDeadline(time.Now().Add(crowdHold))
	buffer := make([]byte, 1<<10)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return connection, os.IsTimeout(err)
		}
	}
}

// end closes all connections.
func (r *crowdRun) end() {
	close(r.stop)
	r.clients.Wait()
}

// openDescriptors returns the number of descriptors that a process has open.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatalf("read descriptors: %v", err)
	}
	return len(entries)
}

// awaitSent waits until all clients have sent what they send, and returns the most
// descriptors that the process had open until then.
func (r *crowdRun) awaitSent(t *testing.T) int {
	t.Helper()
	all := make(chan struct{})
	go func() {
		r.sent.Wait()
		close(all)
	}()
	most := 0
	for {
		most = max(most, openDescriptors(t, r.host.Node.PID()))
		select {
		case <-all:
			return most
		case <-time.After(pollWait):
		}
	}
}

// awaitOrdinary sends an ordinary request of another client account than the crowd's, each
// on a new connection, until it is served. It returns the status of the last one and how
// many were sent.
func (f *fleet) awaitOrdinary(host *blfleet.Host) (status, sent int) {
	return f.awaitOrdinaryTo(host, "ordinary")
}

// awaitOrdinaryTo is awaitOrdinary with a request for a key.
func (f *fleet) awaitOrdinaryTo(host *blfleet.Host, key string) (status, sent int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: startWait}
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); time.Sleep(pollWait) {
		sent++
		if status = f.contribute(client, host, key); status == http.StatusOK {
			break
		}
	}
	return status, sent
}

// contribute sends a small request, and returns the status of its answer or zero.
func (f *fleet) contribute(client *http.Client, host *blfleet.Host, key string) int {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost,
		"http://"+host.CallerAddress+"/pot/"+key+"/contributions", strings.NewReader("1"))
	if err != nil {
		f.t.Errorf("build request: %v", err)
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+f.ClientKeys[ordinaryAccount])
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// deployLimited starts one host with the memory and descriptors of the tests.
func deployLimited(t *testing.T, descriptors int) *fleet {
	t.Helper()
	return deployLimitedHosts(t, 1, descriptors)
}

// deployLimitedHosts starts hosts with the memory and descriptors of the tests.
func deployLimitedHosts(t *testing.T, count, descriptors int) *fleet {
	t.Helper()
	hosts := blfleet.PotHosts(count, true)
	for i := range hosts {
		hosts[i].Settings = []string{
			fmt.Sprintf("memory_mb = %d", crowdMemoryMB), fmt.Sprintf("max_descriptors = %d", descriptors),
		}
	}
	return deploy(t, hosts, nil)
}

// checkCrowd lets a crowd act against a host and checks that its process lives, that it
// stays within the memory and descriptors of the host, and that it serves an ordinary
// request while the crowd is still connected.
func checkCrowd(t *testing.T, c crowd) {
	t.Helper()
	f := deployLimited(t, c.descriptors)
	host := f.Hosts[0]
	before := usageOf(t, host.Node.PID())
	watches := watchHosts(host)
	run := f.startCrowd(c, host)
	descriptors := run.awaitSent(t)
	status, sent := f.awaitOrdinary(host)
	endWatches(t, watches)
	descriptors = max(descriptors, openDescriptors(t, host.Node.PID()))
	run.end()
	t.Logf("%d MB before, at most %d descriptors, %d connections closed, ordinary request: %d after %d attempts",
		before.residentMB, descriptors, run.closed.Load(), status, sent)
	if descriptors > c.descriptors {
		t.Errorf("descriptors: got %d, want at most %d", descriptors, c.descriptors)
	}
	if status != http.StatusOK {
		t.Errorf("ordinary request: got %d, want %d", status, http.StatusOK)
	}
}
