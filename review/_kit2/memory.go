package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// residentKB returns the resident memory of a process in KB, or zero.
func residentKB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// unreadKB returns, in KB, what has arrived on the accepted connections of a listener and
// hasn't been read by its process, and the number of these connections.
func unreadKB(address string) (unread, connections int) {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", number)
	text, _ := os.ReadFile("/proc/net/tcp")
	total := int64(0)
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		const inode = 9
		if len(f) <= inode || !strings.HasSuffix(f[1], local) || f[3] == "0A" || f[inode] == "0" {
			continue
		}
		_, queued, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queued, 16, 64)
		total += n
		connections++
	}
	return int(total >> 10), connections
}

const (
	sampleInterval = 20 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// watchMemory does what the platform does: it kills a node that exceeds its memory, in
// which unread bytes count, and starts it again after a short delay. It calls ended at each
// end, also of a node that ends otherwise.
func (h *host) watchMemory(stop <-chan struct{}, ended func(why string), done *sync.WaitGroup) {
	defer done.Done()
	most := 0
	for {
		select {
		case <-stop:
			h.world.log("%s: at most %d MB with what is unread", h.name, most>>10)
			return
		case <-time.After(sampleInterval):
		}
		resident := residentKB(h.node.Process.Pid)
		unread, connections := unreadKB(h.callerAddress)
		if most = max(most, resident+unread); resident > 0 && resident+unread <= h.memory<<10 {
			continue
		}
		why := "it ended by itself"
		if resident > 0 {
			why = fmt.Sprintf("it has %d MB resident and %d MB unread on %d connections, %d MB are allowed", resident>>10, unread>>10, connections, h.memory)
		}
		h.killNode()
		ended(why)
		time.Sleep(restartDelay)
		if err := h.startNode(); err != nil {
			ended(err.Error())
			return
		}
	}
}
