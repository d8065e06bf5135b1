package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"bergamotlead/tools/blload"
)

type sharesCommand struct {
	Length time.Duration `default:"10s" help:"Duration of the load."`
}

type sharesMeasurement struct {
	Measurement string `json:"measurement"`
	Entry       string `json:"entry"`
	// RefusedPercent is the measured percentage of the ordinary accounts' requests
	// that were refused, though the accounts stayed within their rates. The next two
	// are computed for the same arrivals.
	RefusedPercent              float64 `json:"refused_percent"`
	FixedSharesRefusedPercent   float64 `json:"refused_percent_with_fixed_shares"`
	CentralBucketRefusedPercent float64 `json:"refused_percent_with_a_central_bucket"`
	// WorstServedPercent is the lowest percentage of requests served among the
	// ordinary accounts.
	WorstServedPercent float64 `json:"worst_served_percent"`
	// GreedyServedFraction is the served rate of the account that sent five times its
	// rate, as a fraction of its rate.
	GreedyServedFraction float64 `json:"greedy_got_of_its_rate"`
}

// arrival is the time, account and host of one request.
type arrival struct {
	at      time.Duration
	account string
	host    int
}

const (
	greedyAccount = "bookkeeping"
	greedyFactor  = 5
	// ordinaryFactor is the fraction of its rate that an ordinary account sends.
	ordinaryFactor = 0.8
)

// Run sends five times its rate from one account and less than the rate from seven
// ordinary accounts, once evenly through all hosts and once mostly through one.
func (c sharesCommand) Run() error {
	for _, entry := range []string{"even", "skewed"} {
		if err := c.measure(entry); err != nil {
			return err
		}
	}
	return nil
}

type account struct {
	name    string
	rate    float64
	burst   float64
	service string
}

func sharesAccounts() []account {
	return []account{
		{"family_app", 300, 60, "pot"}, {"thies_kiosk", 60, 20, "pot"}, {"dakar_kiosk", 60, 20, "pot"},
		{"grandparent_web", 120, 30, "wishlist"}, {"stock_check", 120, 30, "wishlist"}, {"gift_shops", 40, 20, "wishlist"},
		{"school_groups", 40, 20, "pot"}, {greedyAccount, 60, 20, "pot"},
	}
}

func (c sharesCommand) measure(entry string) error {
	accounts := sharesAccounts()
	d, err := deploy(currentDakarHosts(), withAccountRates(accounts))
	if err != nil {
		return err
	}
	defer d.stop()
	recorder := &recorder{started: time.Now()}
	results := map[string]blload.Result{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range accounts {
		wg.Go(func() {
			result := blload.Run(c.plan(d, a, entry, recorder))
			mu.Lock()
			results[a.name] = result
			mu.Unlock()
		})
	}
	wg.Wait()
	report(c.summary(entry, accounts, results, recorder, len(d.Hosts)))
	return nil
}

func (c sharesCommand) plan(d *deployment, a account, entry string, recorder *recorder) blload.Plan {
	offered := a.rate * ordinaryFactor
	if a.name == greedyAccount {
		offered = a.rate * greedyFactor
	}
	return blload.Plan{Callers: 8, Duration: c.Length, Rate: offered, Next: func(caller, number int) blload.Request {
		host := (caller + number) % len(d.Hosts)
		if entry == "skewed" && number%10 != 0 {
			host = 0
		}
		recorder.record(a.name, host)
		path := fmt.Sprintf("/%s/%d/contributions", a.service, (caller*131+number)%benchKeys)
		method := http.MethodPost
		if a.service == "wishlist" {
			method = http.MethodGet
		}
		return blload.Request{Method: method, URL: "http://" + d.Hosts[host].CallerAddress + path, ClientKey: d.ClientKeys[a.name], Body: "1"}
	}}
}

func (sharesCommand) summary(
	entry string, accounts []account, results map[string]blload.Result, recorder *recorder, hosts int,
) sharesMeasurement {
	m := sharesMeasurement{Measurement: "shares", Entry: entry, WorstServedPercent: 100}
	sent, refused, fixed, central := 0, 0, 0, 0
	for _, a := range accounts {
		result := results[a.name]
		if a.name == greedyAccount {
			m.GreedyServedFraction = result.Rate() / a.rate
			continue
		}
		sent += result.Requests
		refused += result.Statuses[http.StatusTooManyRequests]
		arrivals := recorder.arrivalsOf(a.name)
		fixed += countRefused(arrivals, a, hosts)
		central += countRefused(viaOneHost(arrivals), a, 1)
		m.WorstServedPercent = min(m.WorstServedPercent, 100*float64(result.Statuses[http.StatusOK])/float64(result.Requests))
	}
	m.RefusedPercent = 100 * float64(refused) / float64(sent)
	m.FixedSharesRefusedPercent = 100 * float64(fixed) / float64(sent)
	m.CentralBucketRefusedPercent = 100 * float64(central) / float64(sent)
	return m
}

// recorder records every request, so that other ways of sharing a rate can be
// computed for the same arrivals.
type recorder struct {
	started time.Time

	mu       sync.Mutex
	arrivals []arrival
}

func (r *recorder) record(name string, host int) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{at: time.Since(r.started), account: name, host: host})
	r.mu.Unlock()
}

func (r *recorder) arrivalsOf(name string) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []arrival
	for _, a := range r.arrivals {
		if a.account == name {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// viaOneHost returns the arrivals as if one host had received all of them.
func viaOneHost(arrivals []arrival) []arrival {
	list := make([]arrival, len(arrivals))
	for i, a := range arrivals {
		a.host = 0
		list[i] = a
	}
	return list
}

// countRefused simulates token buckets, full at the start, in which each host has
// an equal and fixed share of the rate and burst. It returns the number of
// arrivals that they refuse.
func countRefused(arrivals []arrival, a account, hosts int) int {
	levels := make([]float64, hosts)
	filled := make([]time.Duration, hosts)
	for i := range levels {
		levels[i] = a.burst / float64(hosts)
	}
	refused := 0
	for _, next := range arrivals {
		elapsed := (next.at - filled[next.host]).Seconds()
		levels[next.host] = min(levels[next.host]+elapsed*a.rate/float64(hosts), a.burst/float64(hosts))
		filled[next.host] = next.at
		if levels[next.host] < 1 {
			refused++
			continue
		}
		levels[next.host]--
	}
	return refused
}
