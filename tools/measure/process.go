package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// userHZ is the number of clock ticks per second in which the kernel reports CPU
// time in /proc.
const userHZ = 100

// cpuTime returns the CPU time that a process has used, or zero when it has ended.
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

// residentMB returns the resident memory of a process in MiB, or zero when it has
// ended.
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
