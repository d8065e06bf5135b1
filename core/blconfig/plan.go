package blconfig

import (
	"slices"
	"strings"
	"time"

	"bergamotlead/core/blvalue"
)

// ServiceKind says whether a service is partitioned by key.
type ServiceKind string

// The service kinds.
const (
	// ServiceExclusive is partitioned: each key is owned by exactly one upstream.
	ServiceExclusive ServiceKind = "exclusive"
	// ServiceShared is not partitioned: any upstream may answer any request.
	ServiceShared ServiceKind = "shared"
)

// Service is the configuration of one service of the deployment.
type Service struct {
	Name           blvalue.ServiceName
	Kind           ServiceKind
	Partitions     int
	Slots          int
	ColdStartLimit int
	ServiceTime    time.Duration
	Upstreams      int
	// RangePartitioned is set if partitions are ranges of the caller's shard
	// instead of hashes of the key.
	RangePartitioned bool
	// ColdStartRate limits the requests per second to an upstream in cold start.
	// If it is zero, only ColdStartLimit limits them.
	ColdStartRate float64
}

// PartitionOf returns the partition of a request, by its shard or its key.
func (s Service) PartitionOf(request blvalue.Request) blvalue.Partition {
	if s.RangePartitioned {
		return blvalue.PartitionOfShard(request.Shard, s.Partitions)
	}
	return blvalue.PartitionOf(request.Key, s.Partitions)
}

// Account is a client account with its rate limit and permissions.
type Account struct {
	Name blvalue.AccountName
	// Rate is the rate limit in requests per second, summed over all hosts.
	Rate int64
	// Burst is the burst size in requests.
	Burst int64
	// Overdraft is the number of requests beyond rate and burst that a new lead
	// may lend while tokens lent by an earlier lead may still be in use. If it is
	// zero, the new lead lends nothing until those have expired.
	Overdraft  int64
	KeyDigests []string
	Services   []blvalue.ServiceName
	// AnyService allows the account to call every service.
	AnyService bool
	// Rank overrides the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
}

// RateLimited reports whether the account has a rate limit.
func (a Account) RateLimited() bool {
	return a.Rate > 0
}

// MayCall reports whether the account may call the service.
func (a Account) MayCall(service blvalue.ServiceName) bool {
	return a.AnyService || slices.Contains(a.Services, service)
}

// Priority is the priority class of requests that wait for a slot.
type Priority string

// The priority classes.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
)

// Rank returns the rank of the class. Lower ranks go first.
func (p Priority) Rank() int {
	if p == PriorityUrgent {
		return 0
	}
	return 1
}

// AnyPath matches every path of a service.
const AnyPath = "*"

// Route defines how matching requests are handled. It matches by service, method
// and path, or by authority and path prefix.
type Route struct {
	Name    string
	Service blvalue.ServiceName
	Method  string
	// Path is the part of the URL path after the key, or AnyPath.
	Path       string
	Idempotent bool
	Open       bool
	// Rank orders requests that wait for a slot. Lower ranks go first.
	Rank int
	// Host and Prefix match the request's authority and the beginning of its
	// path. They are set in routes that match by authority.
	Host   string
	Prefix string
	// WeightedServices share the route's requests by weight. Service is set if
	// there is only one.
	WeightedServices []WeightedService
	// Timeout is the maximum time to handle a request, or zero to use the
	// caller's timeout.
	Timeout time.Duration
	// Goal is the latency goal: the time within which an answer is most useful,
	// or zero for none.
	Goal time.Duration
	// MaxAttempts is the maximum number of upstreams to which a request may be
	// sent, or zero if the route sets none.
	MaxAttempts int
}

// WithRank returns the route with the given rank.
func (r Route) WithRank(rank int) Route {
	r.Rank = rank
	return r
}

// WeightedService is a service that receives a weighted share of a route's
// requests.
type WeightedService struct {
	Service blvalue.ServiceName
	Weight  int
}

// Choose returns the service for the request with the given sequence number.
// Consecutive numbers are distributed over the services by weight.
func (r Route) Choose(number uint64) blvalue.ServiceName {
	total := 0
	for _, weighted := range r.WeightedServices {
		total += max(weighted.Weight, 0)
	}
	if total == 0 {
		return r.Service
	}
	offset := int(number * weightStride % uint64(total))
	for _, weighted := range r.WeightedServices {
		offset -= max(weighted.Weight, 0)
		if offset < 0 {
			return weighted.Service
		}
	}
	return r.Service
}

// weightStride is a prime that spreads consecutive sequence numbers over the
// weights of a route.
const weightStride = 7919

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
	BodyBytes      int64
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

func newService(d Document, name string) Service {
	return Service{
		Name:           blvalue.ServiceName(name),
		Kind:           ServiceKind(d.value(SectionServices, name, "kind").Text),
		Partitions:     int(d.value(SectionServices, name, "partitions").Integer),
		Slots:          int(d.value(SectionServices, name, "slots").Integer),
		ColdStartLimit: int(d.value(SectionServices, name, "cold_start_limit").Integer),
		ServiceTime:    d.value(SectionServices, name, "service_time").Duration,
		Upstreams:      int(d.value(SectionServices, name, "upstreams").Integer),
	}
}

func newAccount(d Document, name string) Account {
	account := Account{
		Name:       blvalue.AccountName(name),
		Rate:       d.value(SectionAccounts, name, "rate").Integer,
		Burst:      d.value(SectionAccounts, name, "burst").Integer,
		KeyDigests: d.value(SectionAccounts, name, "key_digests").List,
	}
	for _, service := range d.value(SectionAccounts, name, "services").List {
		account.Services = append(account.Services, blvalue.ServiceName(service))
	}
	return account
}

func newRoute(d Document, name string) Route {
	return Route{
		Name:       name,
		Service:    blvalue.ServiceName(d.value(SectionRoutes, name, "service").Text),
		Method:     d.value(SectionRoutes, name, "method").Text,
		Path:       d.value(SectionRoutes, name, "path").Text,
		Idempotent: d.value(SectionRoutes, name, "idempotent").Boolean,
		Open:       d.value(SectionRoutes, name, "open").Boolean,
		Rank:       Priority(d.value(SectionRoutes, name, "priority").Text).Rank(),
	}
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
