package blconfig

import (
	"slices"
	"strings"
	"time"

	"bergamotlead/core/blvalue"
)

// DomainState says whether a failure domain takes work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// UpstreamDrain is the state of an upstream that is being drained by operators.
const UpstreamDrain = "drain"

// Timing holds the intervals and timeouts of the control plane.
type Timing struct {
	Heartbeat time.Duration
	GrantTTL  time.Duration
	LeadLease time.Duration
	Freshness time.Duration
	// ClockMargin allows for clock drift over the lifetime of one grant.
	ClockMargin time.Duration
	// Settle is an additional wait for upstreams that don't check fences.
	Settle time.Duration
	// DrainTime is how long a node goes on accepting requests for a leaving
	// upstream, counted from when the node learns that it leaves. Zero means that
	// the node never refuses them.
	DrainTime time.Duration
	// LoanTTL is how long a node may spend the tokens that the lead lent it.
	LoanTTL time.Duration
	// LoanLookahead is the time for which a node's lent tokens should last.
	LoanLookahead time.Duration
}

const (
	// DefaultLoanTTL is used if the configuration sets no other value.
	DefaultLoanTTL = 400 * time.Millisecond
	// DefaultLoanLookahead is used if the configuration sets no other value.
	DefaultLoanLookahead = 100 * time.Millisecond
)

// Limits holds the limits on requests, queues, retries and hedging.
type Limits struct {
	BodyBytes int64
	// HeadBytes limits the head of a request, HeaderTimeout the time in which it has to
	// arrive, and IdleTimeout the time for which a connection may wait for one. Zero
	// leaves the default.
	HeadBytes      int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	QueueLength    int
	RequestTimeout time.Duration
	ShutdownGrace  time.Duration
	// RetryPercent and HedgePercent limit retried and hedged requests, in percent
	// of all requests.
	RetryPercent int64
	HedgePercent int64
	// RetryReserve is the maximum number of unused retries that a node may
	// accumulate, or zero for the default.
	RetryReserve int64
	// FleetRetryReserve is the maximum number of unused retries that all nodes
	// together may accumulate, or zero for no limit.
	FleetRetryReserve int64
}

// Plan is the immutable typed form of a configuration, which decisions read.
type Plan struct {
	Deployment string
	Services   map[blvalue.ServiceName]Service
	Accounts   map[blvalue.AccountName]Account
	// Digests maps the digest of each client key to its account.
	Digests map[string]blvalue.AccountName
	Routes  []Route
	Domains map[blvalue.DomainName]DomainState
	// Drained is true for the upstreams that operators drain.
	Drained map[blvalue.UpstreamName]bool
	Timing  Timing
	Limits  Limits
	// Rollouts holds the roll-out orders in force, and Exposure limits what an unproven
	// version gets. Both are empty where the deployment has no roll-outs.
	Rollouts map[blvalue.ServiceName]RolloutOrder
	Exposure Exposure
	// routesByHost holds the routes that match by authority, longest prefix first.
	routesByHost map[string][]Route
}

// WithHostRoutes returns the plan with routes that match by authority and path
// prefix.
func (p Plan) WithHostRoutes(routes []Route) Plan {
	p.routesByHost = make(map[string][]Route, len(routes))
	for _, route := range routes {
		p.routesByHost[route.Host] = append(p.routesByHost[route.Host], route)
	}
	for _, list := range p.routesByHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	p.Routes = routes
	return p
}

// Find returns the route that matches a request, by its authority if it has one,
// otherwise by its service.
func (p Plan) Find(request blvalue.Request, path string) (Route, bool) {
	if request.Host == "" {
		return p.Route(request.Service, request.Method, path)
	}
	for _, route := range p.routesByHost[request.Host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// RouteTimeout returns how long the route of a request lets its caller wait, or zero if it
// doesn't limit that or there is no route.
func (p Plan) RouteTimeout(request blvalue.Request, path string) time.Duration {
	route, _ := p.Find(request, path)
	return route.Timeout
}

// NewPlan returns the plan of a document that passed Check.
func NewPlan(d Document) Plan {
	plan := Plan{
		Deployment: d.value(SectionDeployment, "", "name").Text,
		Services:   map[blvalue.ServiceName]Service{},
		Accounts:   map[blvalue.AccountName]Account{},
		Digests:    map[string]blvalue.AccountName{},
		Domains:    map[blvalue.DomainName]DomainState{},
		Drained:    map[blvalue.UpstreamName]bool{},
		Timing:     newTiming(d),
		Limits:     newLimits(d),
	}
	for _, name := range d.Entries(SectionServices) {
		plan.Services[blvalue.ServiceName(name)] = newService(d, name)
	}
	for _, name := range d.Entries(SectionAccounts) {
		account := newAccount(d, name)
		plan.Accounts[account.Name] = account
		for _, digest := range account.KeyDigests {
			plan.Digests[digest] = account.Name
		}
	}
	for _, name := range d.Entries(SectionRoutes) {
		plan.Routes = append(plan.Routes, newRoute(d, name))
	}
	for _, name := range d.Entries(SectionDomains) {
		plan.Domains[blvalue.DomainName(name)] = DomainState(d.value(SectionDomains, name, "state").Text)
	}
	for _, name := range d.Entries(SectionUpstreams) {
		plan.Drained[blvalue.UpstreamName(name)] = d.value(SectionUpstreams, name, "state").Text == UpstreamDrain
	}
	return plan
}

func newTiming(d Document) Timing {
	return Timing{
		Heartbeat:   d.value(SectionTiming, "", "heartbeat").Duration,
		GrantTTL:    d.value(SectionTiming, "", "grant_ttl").Duration,
		LeadLease:   d.value(SectionTiming, "", "lead_lease").Duration,
		Freshness:   d.value(SectionTiming, "", "freshness").Duration,
		ClockMargin: d.value(SectionTiming, "", "clock_margin").Duration,
		Settle:      d.value(SectionTiming, "", "settle").Duration,
		LoanTTL:     DefaultLoanTTL, LoanLookahead: DefaultLoanLookahead,
	}
}

func newLimits(d Document) Limits {
	return Limits{
		BodyBytes:      d.value(SectionLimits, "", "body_bytes").Integer,
		QueueLength:    int(d.value(SectionLimits, "", "queue_length").Integer),
		RequestTimeout: d.value(SectionLimits, "", "request_timeout").Duration,
		ShutdownGrace:  d.value(SectionLimits, "", "shutdown_grace").Duration,
		RetryPercent:   d.value(SectionLimits, "", "retry_percent").Integer,
		HedgePercent:   d.value(SectionLimits, "", "hedge_percent").Integer,
	}
}

// Route returns the route that matches service, method and path. A route with the
// exact path takes precedence over one with AnyPath.
func (p Plan) Route(service blvalue.ServiceName, method, path string) (Route, bool) {
	var wildcard Route
	ok := false
	for _, route := range p.Routes {
		if route.Service != service || route.Method != method {
			continue
		}
		if route.Path == path {
			return route, true
		}
		if route.Path == AnyPath {
			wildcard, ok = route, true
		}
	}
	return wildcard, ok
}

// DomainTakesWork reports whether the failure domain is in service.
func (p Plan) DomainTakesWork(domain blvalue.DomainName) bool {
	return p.Domains[domain] == DomainIn
}
