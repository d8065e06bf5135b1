// Command harness runs the cases of the review against the programs of this project.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// testCase runs one case. Trouble is false if the disruption is to be left out.
type testCase func(log *record, trouble bool) (verdict, error)

var cases = map[string]testCase{
	"stray_heartbeat":    strayHeartbeat,
	"late_heartbeat":     lateHeartbeat,
	"silent_connections": silentConnections,
	"stray_server":       strayServer,
	"restart_join":       restartAndJoin,
	"extra_answer":       extraAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "harness CASE FOLDER, in the repository")
		os.Exit(int(failed))
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	go giveUp(log)
	result, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		result = failed
	}
	text := map[verdict]string{held: "the rule held", broken: "the rule is broken", failed: "no result"}[result]
	log.add("%s", text)
	fmt.Println(text)
	log.close()
	os.Exit(int(result))
}

// longest is how long a case may take.
const longest = 115 * time.Second

// giveUp ends all processes when the case takes too long or is to stop.
func giveUp(log *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	stopAll()
	log.add("given up")
	log.close()
	os.Exit(int(failed))
}

// traffic sends requests to machines until it is stopped.
type traffic struct {
	mu      sync.Mutex
	answers []answer
	stop    chan struct{}
	pending sync.WaitGroup
}

// send sends one request every period, to each machine in turn, of which one in three
// is unsafe.
func (t *traffic) run(f *fleet, machines []*machine, period time.Duration, path func(n int) (method, uri string, key int, deadline time.Duration)) {
	c := newClient(f)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
		}
		m := machines[n%len(machines)]
		method, uri, key, deadline := path(n)
		id := fmt.Sprintf("%016x", 0x1c41d07be2000000+n)
		t.pending.Add(1)
		go func() {
			defer t.pending.Done()
			a := c.send(m, id, method, uri, key, deadline)
			t.mu.Lock()
			t.answers = append(t.answers, a)
			t.mu.Unlock()
		}()
	}
}

func startTraffic(f *fleet, machines []*machine, period time.Duration, path func(n int) (string, string, int, time.Duration)) *traffic {
	t := &traffic{stop: make(chan struct{})}
	go t.run(f, machines, period, path)
	return t
}

func (t *traffic) end() []answer {
	close(t.stop)
	time.Sleep(50 * time.Millisecond)
	t.pending.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers
}

// potRequests are the requests of pot-view and chip-in.
func potRequests(n int) (string, string, int, time.Duration) {
	key := (n * 7919) % keyCount
	if n%3 == 2 {
		return "POST", fmt.Sprintf("/chip/%d", key), key, 1500 * time.Millisecond
	}
	return "GET", fmt.Sprintf("/view/%d", key), key, 1200 * time.Millisecond
}

// overlap is a time for which two servers held the same keys.
type overlap struct {
	a, b       hold
	begin, end time.Time
}

// overlaps returns the times of over half a second for which two servers held the same
// range of keys.
func overlaps(holds []hold, least time.Duration) []overlap {
	byRange := map[int][]hold{}
	for _, h := range holds {
		byRange[h.firstKey] = append(byRange[h.firstKey], h)
	}
	var found []overlap
	for _, list := range byRange {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.server == b.server {
					continue
				}
				begin, end := maxTime(a.begin, b.begin), a.end
				if b.end.Before(end) {
					end = b.end
				}
				if end.Sub(begin) > least {
					found = append(found, overlap{a: a, b: b, begin: begin, end: end})
				}
			}
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].begin.Before(found[j].begin) })
	return found
}

// judgeOwner checks the rule OWNER: no two servers hold the same keys for over half a
// second.
func judgeOwner(log *record, servers []*server) verdict {
	var holds []hold
	for _, s := range servers {
		holds = append(holds, s.allHolds()...)
	}
	found := overlaps(holds, 500*time.Millisecond)
	for i, o := range found {
		if i < 20 {
			log.add("keys %d to %d: %s with fence %d and %s with fence %d both held them from %.3f s to %.3f s, for %d ms",
				o.a.firstKey, o.a.lastKey, o.a.server, o.a.fence, o.b.server, o.b.fence,
				log.seconds(o.begin), log.seconds(o.end), o.end.Sub(o.begin).Milliseconds())
		}
	}
	log.add("%d ranges of keys were held by two servers for over 500 ms, of %d holds", len(found), len(holds))
	fmt.Printf("%d ranges of keys were held by two servers for over 500 ms\n", len(found))
	if len(found) > 0 {
		return broken
	}
	return held
}

func countStatuses(answers []answer, from, to time.Time) map[int]int {
	counts := map[int]int{}
	for _, a := range answers {
		if a.sent.After(from) && a.sent.Before(to) {
			counts[a.status]++
		}
	}
	return counts
}
