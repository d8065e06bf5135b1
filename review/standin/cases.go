package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// serviceTime is how long a server works on a request.
	serviceTime = 60 * time.Millisecond
	// potServers is the number of servers of pot, as in the site cadeau-dakar.
	potServers = 7
)

// potFleet starts machines with servers of pot.
func potFleet(log *record, count int, link func(target string) (string, error)) (*fleet, error) {
	f, err := newFleet(log)
	if err != nil {
		return nil, err
	}
	for range count {
		if _, err := f.add(servicePot, link); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.startAll(serviceTime); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) servers() []*server {
	var list []*server
	for _, m := range f.machines {
		if m.server != nil {
			list = append(list, m.server)
		}
	}
	return list
}

// strayHeartbeat sends one heartbeat of another writer, with a service that isn't named,
// to a node whose server is up.
func strayHeartbeat(log *record, trouble bool) (verdict, error) {
	f, err := potFleet(log, potServers, nil)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	load := startTraffic(f, f.machines, 25*time.Millisecond, potRequests)
	time.Sleep(6 * time.Second)
	m := f.machines[1]
	if trouble {
		address, err := freeAddress(loopback(2))
		if err != nil {
			return failed, err
		}
		body, _ := json.Marshal(map[string]any{
			"address": address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "huze11x", "version": "v1", "zone": m.zone, "slots": 4},
			"status": map[string]any{"state": "ready", "seq": 1, "warmup_left": "0ms"},
		})
		other := &server{control: m.control, id: "i-00000abc"}
		err = other.post(other.rpc("instances.heartbeat"), body)
		log.add("another writer sends to %s: %s; result: %v", m.name, body, err)
	}
	time.Sleep(8 * time.Second)
	answers := load.end()
	log.add("answers: %v", countStatuses(answers, log.start, time.Now()))
	return judgeOwner(log, f.servers()), nil
}

// lateHeartbeat delays two heartbeats of a server that then leaves.
func lateHeartbeat(log *record, trouble bool) (verdict, error) {
	f, err := potFleet(log, potServers, nil)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	for _, s := range f.servers() {
		s.setWork(120 * time.Millisecond)
	}
	load := startTraffic(f, f.machines, 8*time.Millisecond, potRequests)
	time.Sleep(6 * time.Second)
	m := f.machines[1]
	s := m.server
	heldUp := make(chan struct{}, 16)
	if trouble {
		const lateness = 2500 * time.Millisecond
		s.mu.Lock()
		s.sendHeartbeat = func(body []byte) {
			log.add("a heartbeat of %s is sent, and held up: %s", s.id, body)
			heldUp <- struct{}{}
			time.Sleep(lateness)
			err := s.post(s.rpc("instances.heartbeat"), body)
			log.add("the heartbeat arrives %d ms late: %s; result: %v", lateness.Milliseconds(), body, err)
		}
		s.mu.Unlock()
	}
	for range 2 {
		if trouble {
			<-heldUp
		}
	}
	time.Sleep(300 * time.Millisecond)
	acknowledged, err := s.leave()
	if err != nil {
		return failed, fmt.Errorf("leave: %w", err)
	}
	time.Sleep(7 * time.Second)
	// It ends while it is at work on an unsafe request, if it gets one.
	await(time.Second, s.runsUnsafe)
	ended := time.Now()
	s.stop()
	time.Sleep(2 * time.Second)
	answers := load.end()
	late := 0
	const drain = 2000 * time.Millisecond
	for _, r := range log.allRuns() {
		if r.server == s.id && r.at.Sub(acknowledged) > drain {
			late++
			if late <= 20 {
				log.add("%s reached %s %d ms after the acknowledgement of its leave", r.id, s.id, r.at.Sub(acknowledged).Milliseconds())
			}
		}
	}
	lost := 0
	for _, a := range answers {
		if a.unsafe && (a.status == 502 || a.status == 504 || a.failure != "") && a.answered.After(ended.Add(-time.Second)) {
			lost++
			log.add("unsafe request %s got %d %s", a.id, a.status, a.failure)
		}
	}
	log.add("%d requests reached %s later than 2000 ms after its leave was acknowledged; %d unsafe requests were lost as it ended", late, s.id, lost)
	fmt.Printf("%d requests reached the server later than drain; %d unsafe requests got no answer of a server as it ended\n", late, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// silentConnections makes all open connections between nodes silent, once.
func silentConnections(log *record, trouble bool) (verdict, error) {
	var links []*link
	f, err := potFleet(log, potServers, func(target string) (string, error) {
		l, err := newLink(target)
		if err != nil {
			return "", err
		}
		links = append(links, l)
		return l.address(), nil
	})
	if err != nil {
		return failed, err
	}
	defer f.stop()
	load := startTraffic(f, f.machines, 25*time.Millisecond, potRequests)
	time.Sleep(8 * time.Second)
	at := time.Now()
	if trouble {
		count := 0
		for _, l := range links {
			count += l.silence()
		}
		log.add("the %d open connections between nodes go silent; new ones work", count)
	}
	time.Sleep(60 * time.Second)
	answers := load.end()
	before, after := countStatuses(answers, log.start, at.Add(-time.Second)), countStatuses(answers, at.Add(15*time.Second), time.Now())
	log.add("answers before: %v; from 15 s after: %v", before, after)
	for from := at; from.Before(time.Now()); from = from.Add(5 * time.Second) {
		log.add("answers to requests sent from %.0f s on: %v", log.seconds(from), countStatuses(answers, from, from.Add(5*time.Second)))
	}
	share := func(counts map[int]int) float64 {
		total := 0
		for _, count := range counts {
			total += count
		}
		return float64(counts[200]) / float64(max(total, 1))
	}
	fmt.Printf("served before: %.2f; later than 15 s after: %.2f\n", share(before), share(after))
	log.add("served before: %.2f; later than 15 s after: %.2f", share(before), share(after))
	_ = judgeOwner(log, f.servers())
	if share(before) >= 0.25 && share(after) < 0.25 {
		return broken, nil
	}
	return held, nil
}

// restartAndJoin restarts a server under its id while a further server joins.
func restartAndJoin(log *record, trouble bool) (verdict, error) {
	f, err := potFleet(log, potServers, nil)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	m, err := f.add(servicePot, nil)
	if err != nil {
		return failed, err
	}
	if err := f.startNode(m); err != nil {
		return failed, err
	}
	load := startTraffic(f, f.machines[:potServers], 25*time.Millisecond, potRequests)
	time.Sleep(6 * time.Second)
	all := f.servers()
	old := f.machines[1].server
	if trouble {
		old.stop()
		time.Sleep(600 * time.Millisecond)
	}
	if err := f.startServer(m, "i-0d41c2ee", serviceTime); err != nil {
		return failed, err
	}
	if trouble {
		f.firstHeartbeat = firstHeartbeatAfter
		f.prepare = func(s *server) { s.name = s.id + " (second life)" }
		if err := f.startServer(f.machines[1], old.id, serviceTime); err != nil {
			return failed, err
		}
	}
	time.Sleep(8 * time.Second)
	answers := load.end()
	log.add("answers: %v", countStatuses(answers, log.start, time.Now()))
	all = append(all, m.server, f.machines[1].server)
	return judgeOwner(log, all), nil
}

// firstHeartbeatAfter is when the second life of a server sends its first heartbeat.
const firstHeartbeatAfter = 500 * time.Millisecond

// wishRequests are the requests of wish-browse.
func wishRequests(n int) (string, string, int, time.Duration) {
	return "GET", fmt.Sprintf("/wish/%d", n), -1, 2500 * time.Millisecond
}

// strayServer starts a server of a service that no configuration names, which sends its
// heartbeats to a node whose own server is up.
func strayServer(log *record, trouble bool) (verdict, error) {
	f, err := newFleet(log)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	for _, service := range []string{servicePot, serviceWishlist, serviceWishlist, servicePot} {
		if _, err := f.add(service, nil); err != nil {
			return failed, err
		}
	}
	if err := f.startAll(serviceTime); err != nil {
		return failed, err
	}
	load := startTraffic(f, []*machine{f.machines[0], f.machines[3], f.machines[3]}, 20*time.Millisecond, wishRequests)
	time.Sleep(6 * time.Second)
	m := f.machines[1]
	const foreign = "huze11x"
	if trouble {
		address, err := freeAddress(loopback(12))
		if err != nil {
			return failed, err
		}
		other := newServer(log, "i-00000abc", foreign, false, serviceTime, address, m.control)
		other.zone = m.zone
		if err := other.start(); err != nil {
			return failed, err
		}
		defer other.stop()
	}
	time.Sleep(8 * time.Second)
	answers := load.end()
	log.add("answers: %v", countStatuses(answers, log.start, time.Now()))
	count := 0
	for _, r := range log.allRuns() {
		if r.server == "i-00000abc" {
			count++
			log.add("%s %s was run by i-00000abc of service %s", r.id, r.uri, foreign)
		}
	}
	got := 0
	for _, a := range answers {
		if a.status == http.StatusOK && strings.HasPrefix(a.stamp, "i-00000abc") {
			got++
		}
	}
	fmt.Printf("%d requests were run by a service that no configuration names; %d clients got its answer\n", count, got)
	log.add("%d requests were run by a service that no configuration names; %d clients got its answer", count, got)
	if count > 0 {
		return broken, nil
	}
	return held, nil
}

const (
	// faultyServers of the first seven servers, and the two that join, send second
	// answers, for 5 s each time: a share of 0.56.
	faultyServers = 3
	// joiners is how many servers join at a time, and joins how often.
	joiners = 2
	joins   = 17
)

// joinAndLeave lets servers join, and then leave one after the other, while some servers
// send second answers.
func (f *fleet) joinAndLeave(joining []*machine, round int, trouble bool) error {
	faulty := append([]*server(nil), f.servers()[:faultyServers]...)
	for i, m := range joining {
		if err := f.startServer(m, fmt.Sprintf("i-0d41c%d%02x", i, round), serviceTime); err != nil {
			return err
		}
		faulty = append(faulty, m.server)
	}
	for _, s := range faulty {
		s.garbler.on.Store(trouble)
	}
	time.Sleep(1400 * time.Millisecond)
	for _, m := range joining {
		if _, err := m.server.leave(); err != nil {
			return err
		}
		time.Sleep(800 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, m := range joining {
		time.Sleep(500 * time.Millisecond)
		m.server.stop()
	}
	for _, s := range faulty {
		s.garbler.on.Store(false)
	}
	time.Sleep(600 * time.Millisecond)
	return nil
}

// extraAnswer lets servers send second answers while another server joins and leaves.
func extraAnswer(log *record, trouble bool) (verdict, error) {
	f, err := newFleet(log)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	f.prepare = func(s *server) {
		s.longWork = 600 * time.Millisecond
		s.others = f.noted
		f.note(s)
	}
	for range potServers {
		if _, err := f.add(servicePot, nil); err != nil {
			return failed, err
		}
	}
	if err := f.startAll(serviceTime); err != nil {
		return failed, err
	}
	var joining []*machine
	for range joiners {
		m, err := f.add(servicePot, nil)
		if err != nil {
			return failed, err
		}
		if err := f.startNode(m); err != nil {
			return failed, err
		}
		joining = append(joining, m)
	}
	load := startTraffic(f, f.machines[:potServers], 10*time.Millisecond, potRequests)
	time.Sleep(4 * time.Second)
	for round := range joins {
		if err := f.joinAndLeave(joining, round, trouble); err != nil {
			return failed, err
		}
	}
	answers := load.end()
	log.add("answers: %v", countStatuses(answers, log.start, time.Now()))
	count, extra, total := 0, int64(0), int64(0)
	for _, s := range f.noted() {
		s.mu.Lock()
		count += len(s.early)
		s.mu.Unlock()
		extra += s.garbler.extra.Load()
		total += s.garbler.answers.Load()
	}
	log.add("%d times a server was given a key on which another was at work; %d extra answers after %d", count, extra, total)
	fmt.Printf("%d times a server was given a key on which another was at work; ", count)
	result := judgeOwner(log, f.noted())
	if count > 0 {
		result = broken
	}
	return result, nil
}
