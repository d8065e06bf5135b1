package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// userHZ is the number of ticks a second in which the kernel counts
// processor time.
const userHZ = 100

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / userHZ
}

// residentMB returns the memory that a process holds, in megabytes.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if name, value, _ := strings.Cut(line, ":"); name == "VmRSS" {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
