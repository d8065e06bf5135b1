package blconfig

import (
	"slices"
	"strings"
	"time"

	"bergamotlead/core/blvalue"
)

// ServiceKind tells whether a service is divided by key.
type ServiceKind string

// The kinds of services.
const (
	// ServiceExclusive has exactly one owning upstream for each key.
	ServiceExclusive ServiceKind = "exclusive"
	// ServiceShared lets any upstream answer any request.
	ServiceShared ServiceKind = "shared"
)

// Service is one service of the deployment.
type Service struct {
	Name           blvalue.ServiceName
	Kind           ServiceKind
	Partitions     int
	Slots          int
	ColdStartLimit int
	ServiceTime    time.Duration
	Upstreams      int
	// Ranged tells that partitions are ranges of the caller's shard rather than
	// hashes of a key.
	Ranged bool
	// ColdPerSecond bounds the requests a second to an upstream in cold start,
	// or is zero where ColdStartLimit alone does.
	ColdPerSecond float64
}

// PartitionOf returns the partition of a request's key.
func (s Service) PartitionOf(request blvalue.Request) blvalue.Partition {
	if s.Ranged {
		return blvalue.PartitionOfShard(request.Shard, s.Partitions)
	}
	return blvalue.PartitionOf(request.Key, s.Partitions)
}

// Account is a client account and what it may spend.
type Account struct {
	Name blvalue.AccountName
	// Rate is in requests a second, summed over all hosts.
	Rate int64
	// Burst is in requests.
	Burst int64
	// Overdraft is the number of requests beyond rate and burst that may be
	// lent around a change of lead, while purses of an earlier one may be in
	// use. Where it is zero, a new lead waits until those have lapsed.
	Overdraft  int64
	KeyDigests []string
	Services   []blvalue.ServiceName
	// AnyService tells that the account may call every service.
	AnyService bool
	// Rank replaces the rank of a route if HasRank is set.
	Rank    int
	HasRank bool
}

// Limited reports whether the account is held to a rate.
func (a Account) Limited() bool {
	return a.Rate > 0
}

// MayCall reports whether the account may call service.
func (a Account) MayCall(service blvalue.ServiceName) bool {
	return a.AnyService || slices.Contains(a.Services, service)
}

// Priority orders requests that wait for a slot.
type Priority string

// The priority classes.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
)

// Rank returns the rank of the class: lower ranks go first.
func (p Priority) Rank() int {
	if p == PriorityUrgent {
		return 0
	}
	return 1
}

// AnyPath matches every path of a service.
const AnyPath = "*"

// Route says how requests of one method to one service are treated.
type Route struct {
	Name    string
	Service blvalue.ServiceName
	Method  string
	// Path is the part of the URL after the key, or AnyPath.
	Path       string
	Idempotent bool
	Open       bool
	// Rank orders requests that wait for a slot: lower ranks go first.
	Rank int
	// Host and Prefix select the route where routes go by the authority that
	// the caller names. Prefix begins the path.
	Host   string
	Prefix string
	// Backends share the requests of the route by weight. Service is set where
	// there is but one.
	Backends []Backend
	// Timeout is the longest time that a request is kept, or zero for the
	// caller's own.
	Timeout time.Duration
	// Goal is the time within which an answer is most useful, or zero.
	Goal time.Duration
	// MaxAttempts is the number of upstreams to which a request may be sent, or
	// zero for no bound of its own.
	MaxAttempts int
}

// WithRank returns the route with another rank.
func (r Route) WithRank(rank int) Route {
	r.Rank = rank
	return r
}

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service blvalue.ServiceName
	Weight  int
}

// Choose returns the service that takes the request with the given number.
// Consecutive numbers share the requests by weight.
func (r Route) Choose(number uint64) blvalue.ServiceName {
	total := 0
	for _, backend := range r.Backends {
		total += max(backend.Weight, 0)
	}
	if total == 0 {
		return r.Service
	}
	at := int(number * weightStride % uint64(total))
	for _, backend := range r.Backends {
		at -= max(backend.Weight, 0)
		if at < 0 {
			return backend.Service
		}
	}
	return r.Service
}

// weightStride is a prime by which consecutive numbers spread over the weights
// of a route.
const weightStride = 7919

// DomainState tells whether a failure domain takes work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// UpstreamDrain is the state of an upstream that operators drain.
const UpstreamDrain = "drain"

// Timing holds the intervals of the control exchanges.
type Timing struct {
	Heartbeat time.Duration
	GrantTTL  time.Duration
	LeadLease time.Duration
	Freshness time.Duration
	// Margin covers the drift of clocks over one grant.
	Margin time.Duration
	// Settle is waited in addition where an upstream doesn't check fences.
	Settle time.Duration
	// CloseAfter is when a node refuses work for an upstream that leaves, counted
	// from the first word of it, or zero for never.
	CloseAfter time.Duration
	// PurseTTL is how long a node may spend tokens that it was lent.
	PurseTTL time.Duration
	// PurseAhead is the time for which a node's tokens should last.
	PurseAhead time.Duration
}

const (
	// DefaultPurseTTL holds where the document names no other.
	DefaultPurseTTL = 400 * time.Millisecond
	// DefaultPurseAhead holds where the document names no other.
	DefaultPurseAhead = 100 * time.Millisecond
)

// Limits holds the bounds on a request.
type Limits struct {
	BodyBytes      int64
	QueueLength    int
	RequestTimeout time.Duration
	ShutdownGrace  time.Duration
	// RetryPercent and HedgePercent bound extra work, in percent of requests.
	RetryPercent int64
	HedgePercent int64
	// RetryReserve is how many retries a node may save up, or zero for the
	// usual number.
	RetryReserve int64
	// FleetRetryReserve bounds what all nodes together may save up, or is zero
	// for no bound.
	FleetRetryReserve int64
}

// Plan is a document in the form that decisions read. It is immutable.
type Plan struct {
	Deployment string
	Services   map[blvalue.ServiceName]Service
	Accounts   map[blvalue.AccountName]Account
	// Digests maps the digest of a client key to its account.
	Digests map[string]blvalue.AccountName
	Routes  []Route
	Domains map[blvalue.DomainName]DomainState
	// Drained holds the upstreams that operators drain.
	Drained map[blvalue.UpstreamName]bool
	Timing  Timing
	Limits  Limits
	// byHost holds the routes that go by authority, longest prefix first.
	byHost map[string][]Route
}

// WithHostRoutes returns the plan with routes that go by authority and prefix.
func (p Plan) WithHostRoutes(routes []Route) Plan {
	p.byHost = make(map[string][]Route, len(routes))
	for _, route := range routes {
		p.byHost[route.Host] = append(p.byHost[route.Host], route)
	}
	for _, list := range p.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	p.Routes = routes
	return p
}

// Find returns the route that a request takes, by the authority that it names
// or else by its service.
func (p Plan) Find(request blvalue.Request, path string) (Route, bool) {
	if request.Host == "" {
		return p.Route(request.Service, request.Method, path)
	}
	for _, route := range p.byHost[request.Host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// NewPlan returns the plan of a document that passed its checks.
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
		Heartbeat: d.value(SectionTiming, "", "heartbeat").Duration,
		GrantTTL:  d.value(SectionTiming, "", "grant_ttl").Duration,
		LeadLease: d.value(SectionTiming, "", "lead_lease").Duration,
		Freshness: d.value(SectionTiming, "", "freshness").Duration,
		Margin:    d.value(SectionTiming, "", "clock_margin").Duration,
		Settle:    d.value(SectionTiming, "", "settle").Duration,
		PurseTTL:  DefaultPurseTTL, PurseAhead: DefaultPurseAhead,
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

// Route returns the route that a request takes, the one that names its path
// before the one that takes any path.
func (p Plan) Route(service blvalue.ServiceName, method, path string) (Route, bool) {
	var found Route
	ok := false
	for _, route := range p.Routes {
		if route.Service != service || route.Method != method {
			continue
		}
		if route.Path == path {
			return route, true
		}
		if route.Path == AnyPath {
			found, ok = route, true
		}
	}
	return found, ok
}

// DomainTakesWork reports whether operators left the failure domain in.
func (p Plan) DomainTakesWork(domain blvalue.DomainName) bool {
	return p.Domains[domain] == DomainIn
}
