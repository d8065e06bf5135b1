package bltests_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// sampleInterval is how often the memory of a process is read.
const sampleInterval = 20 * time.Millisecond

// memorySample is what a process holds at one moment, in KiB.
type memorySample struct {
	residentKB int
	// unreadKB is what its sockets have received and it hasn't read.
	unreadKB int
}

func (m memorySample) totalMB() int { return (m.residentKB + m.unreadKB) >> 10 }

// memoryWatch samples the memory of a process until it is stopped. The memory of a host
// holds what is resident and what the sockets of the process hold unread.
type memoryWatch struct {
	pid  int
	stop chan struct{}
	done sync.WaitGroup
	// most is the sample with the largest sum, and mostUnreadKB the most unread bytes of
	// any sample.
	most         memorySample
	mostUnreadKB int
	err          error
}

func watchMemory(pid int) *memoryWatch {
	w := &memoryWatch{pid: pid, stop: make(chan struct{})}
	w.done.Go(w.loop)
	return w
}

func (w *memoryWatch) loop() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		sample, err := sampleMemory(w.pid)
		if err != nil {
			w.err = err
			return
		}
		if sample.totalMB() > w.most.totalMB() {
			w.most = sample
		}
		w.mostUnreadKB = max(w.mostUnreadKB, sample.unreadKB)
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// hostWatch samples the memory of the node of a host.
type hostWatch struct {
	host   *blfleet.Host
	memory *memoryWatch
}

// watchHosts samples the memory of the nodes of hosts until endWatches.
func watchHosts(hosts ...*blfleet.Host) []hostWatch {
	watches := make([]hostWatch, 0, len(hosts))
	for _, host := range hosts {
		watches = append(watches, hostWatch{host: host, memory: watchMemory(host.Node.PID())})
	}
	return watches
}

// endWatches stops the sampling and checks that each node lives and stayed within the
// memory of its host.
func endWatches(t *testing.T, watches []hostWatch) {
	t.Helper()
	for _, w := range watches {
		if w.host.Node.EndsWithin(0) {
			t.Fatalf("process of %s: got exit code %d, want it alive", w.host.Spec.Name, w.host.Node.ExitCode())
		}
		if got := usageOf(t, w.host.Node.PID()).peakMB; got > crowdMemoryMB {
			t.Errorf("peak of resident memory of %s: got %d MB, want at most %d MB", w.host.Spec.Name, got, crowdMemoryMB)
		}
		w.memory.end(t, w.host.Spec.Name)
	}
}

// end stops the sampling and checks that the process stayed within its memory.
func (w *memoryWatch) end(t *testing.T, name string) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	if w.err != nil {
		t.Errorf("memory of %s: %v", name, w.err)
		return
	}
	t.Logf("%s: at most %d MB (%d MB resident, %d MB unread), unread at most %d MB",
		name, w.most.totalMB(), w.most.residentKB>>10, w.most.unreadKB>>10, w.mostUnreadKB>>10)
	if got := w.most.totalMB(); got > crowdMemoryMB {
		t.Errorf("memory of %s: got %d MB, want at most %d MB", name, got, crowdMemoryMB)
	}
}

// sampleMemory reads what a process holds from /proc.
func sampleMemory(pid int) (memorySample, error) {
	sockets, err := socketsOf(pid)
	if err != nil {
		return memorySample{}, err
	}
	unread, err := unreadBytes(sockets)
	if err != nil {
		return memorySample{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return memorySample{}, fmt.Errorf("read memory: %w", err)
	}
	sample := memorySample{unreadKB: int(unread >> 10)}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			sample.residentKB, err = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	if err != nil {
		return memorySample{}, fmt.Errorf("read memory: %w", err)
	}
	return sample, nil
}

// socketsOf returns the inodes of the sockets of a process.
func socketsOf(pid int) (map[string]bool, error) {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("read descriptors: %w", err)
	}
	sockets := make(map[string]bool, len(entries))
	for _, entry := range entries {
		// A descriptor may have been closed since the folder was read.
		target, _ := os.Readlink(folder + "/" + entry.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets, nil
}

// unreadBytes returns what connections hold that has been received and not been read.
func unreadBytes(sockets map[string]bool) (int64, error) {
	const (
		stateField, queuesField, inodeField = 3, 4, 9
		// listening is the state of a listener, whose queue counts connections.
		listening = "0A"
	)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("read connections: %w", err)
	}
	total := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= inodeField || fields[stateField] == listening || !sockets[fields[inodeField]] {
			continue
		}
		_, queued, _ := strings.Cut(fields[queuesField], ":")
		count, err := strconv.ParseInt(queued, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("read connections: %w", err)
		}
		total += count
	}
	return total, nil
}
