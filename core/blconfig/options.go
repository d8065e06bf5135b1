package blconfig

import (
	"sync"
	"time"
)

// Bounds derived from the targets of the deployment.
const (
	// RecoveryTarget is the maximum time until a key is served again after a
	// failure.
	RecoveryTarget = 2 * time.Second
	// ConfigPropagationTarget is the maximum time until a configuration is in
	// force.
	ConfigPropagationTarget = 6 * time.Second
	// HeartbeatsPerGrant is the number of consecutive heartbeats that may be lost
	// before a grant expires.
	HeartbeatsPerGrant = 3
	// MaxBurstDuration is the maximum time over which an account may accumulate
	// unused rate.
	MaxBurstDuration = 10 * time.Second

	minHeartbeat             = 100 * time.Millisecond
	minLeadLease             = 200 * time.Millisecond
	minServiceTime           = 100 * time.Microsecond
	maxServiceTime           = 10 * time.Second
	minClockMargin           = 5 * time.Millisecond
	maxClockMargin           = 200 * time.Millisecond
	minRequestTimeout        = 50 * time.Millisecond
	maxRequestTimeout        = 5 * time.Minute
	maxShutdownGrace         = 10 * time.Minute
	maxSlots                 = 4096
	maxUpstreams             = 4096
	maxQueueLength           = 4096
	minBodyBytes             = 1 << 10
	maxBodyBytes             = 1 << 30
	maxRetryPercent          = 50
	maxHedgePercent          = 20
	maxPathBytes             = 256
	maxPartitions            = 65536
	minPartitionsPerUpstream = 4
	digestBytes              = 32
)

// Options returns all options in display order. Callers must not modify the
// returned slice.
func Options() []Option {
	return allOptions()
}

// allOptions builds the list only once, because every setting of a document is
// looked up in it.
var allOptions = sync.OnceValue(newOptions)

func newOptions() []Option {
	var options []Option
	options = append(options, serviceOptions()...)
	options = append(options, accountOptions()...)
	options = append(options, routeOptions()...)
	options = append(options, timingOptions()...)
	return append(options, limitOptions()...)
}

func serviceOptions() []Option {
	return []Option{
		{SectionDeployment, "name", KindText, true, "Names the deployment in logs, metrics and pages.", nameRange},
		{
			SectionServices, "kind", KindText, true,
			"exclusive: each key has exactly one owning upstream. shared: any upstream may answer.",
			oneOf("the two ways of dividing a service", string(ServiceExclusive), string(ServiceShared)),
		},
		{
			SectionServices, "partitions", KindInteger, false,
			"The number of parts into which the keys of an exclusive service are hashed. Ownership moves by partition.",
			partitionRange,
		},
		{
			SectionServices, "slots", KindInteger, true,
			"The number of requests that one upstream works on at once when it is warm.",
			integersBetween(1, maxSlots, "what one upstream can bear"),
		},
		{
			SectionServices, "cold_start_limit", KindInteger, true,
			"The number of requests at once with which an upstream in cold start begins.",
			coldStartRange,
		},
		{
			SectionServices, "service_time", KindDuration, true,
			"How long an upstream works on an ordinary request. Sets the capacity against which rates are held.",
			durationsBetween(minServiceTime, maxServiceTime, "the deadline of a caller"),
		},
		{
			SectionServices, "upstreams", KindInteger, true,
			"The number of upstreams that the operators run. Sets the capacity against which rates are held.",
			integersBetween(1, maxUpstreams, "the size of a region"),
		},
		{
			SectionDomains, "state", KindText, true,
			"in: hosts of the failure domain take work. out: they get no new work after a few seconds.",
			oneOf("the two states of a failure domain", string(DomainIn), string(DomainOut)),
		},
		{
			SectionUpstreams, "state", KindText, true,
			"drain: the upstream gets no new work and hands its keys back. in: it takes work.",
			oneOf("the two states of an upstream", UpstreamDrain, "in"),
		},
	}
}

func accountOptions() []Option {
	return []Option{
		{
			SectionAccounts, "rate", KindInteger, true,
			"The requests a second that the account may spend, summed over all hosts.",
			rateRange,
		},
		{
			SectionAccounts, "burst", KindInteger, true,
			"The requests that the account may spend at once after a pause.",
			burstRange,
		},
		{
			SectionAccounts, "key_digests", KindList, true,
			"The SHA-256 digests of the account's client keys, in hexadecimal. The keys themselves are kept nowhere.",
			digestRange,
		},
		{
			SectionAccounts, "services", KindList, true,
			"The services that the account may call.",
			serviceListRange,
		},
	}
}

func routeOptions() []Option {
	return []Option{
		{SectionRoutes, "service", KindText, true, "The service to which the route leads.", serviceRange},
		{
			SectionRoutes, "method", KindText, true, "The HTTP method that the route takes.",
			oneOf("the methods of HTTP", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
		},
		{SectionRoutes, "path", KindText, true, "The part of the URL after the key, or * for any.", pathRange},
		{
			SectionRoutes, "idempotent", KindBoolean, true,
			"Whether running a request twice does the same as once. Only such requests are sent again after a doubt.",
			anyBoolean,
		},
		{
			SectionRoutes, "open", KindBoolean, true,
			"Whether callers without a client key may take the route.", anyBoolean,
		},
		{
			SectionRoutes, "priority", KindText, true,
			"Which requests get a slot first when an upstream is busy.",
			oneOf("the priority classes", string(PriorityUrgent), string(PriorityNormal)),
		},
	}
}

func timingOptions() []Option {
	return []Option{
		{
			SectionTiming, "heartbeat", KindDuration, true,
			"How often each node reports to the lead and renews its grants.", heartbeatRange,
		},
		{
			SectionTiming, "grant_ttl", KindDuration, true,
			"How long a node may serve its keys without a renewal.", grantRange,
		},
		{
			SectionTiming, "lead_lease", KindDuration, true,
			"How long the lead stays lead without a renewal by the store.", leadLeaseRange,
		},
		{
			SectionTiming, "freshness", KindDuration, true,
			"How long a node that hears no lead goes on admitting requests. Bounds how long a withdrawn key works.",
			freshnessRange,
		},
		{
			SectionTiming, "clock_margin", KindDuration, true,
			"What the lead waits beyond a grant for the drift of two clocks.",
			durationsBetween(minClockMargin, maxClockMargin, "1% drift over a grant, and the recovery target"),
		},
		{
			SectionTiming, "settle", KindDuration, true,
			"What the lead waits in addition before it gives away keys of an upstream that checks no fence.",
			durationsBetween(0, time.Second, "the longest pause between a node's check and its write"),
		},
	}
}

func limitOptions() []Option {
	return []Option{
		{
			SectionLimits, "body_bytes", KindInteger, true, "The largest body of a request, in bytes.",
			integersBetween(minBodyBytes, maxBodyBytes, "the memory of a node"),
		},
		{
			SectionLimits, "queue_length", KindInteger, true,
			"The requests that may wait for one upstream.",
			integersBetween(1, maxQueueLength, "the memory of a node and the deadline of a caller"),
		},
		{
			SectionLimits, "request_timeout", KindDuration, true,
			"How long a caller waits when it names no time of its own.",
			durationsBetween(minRequestTimeout, maxRequestTimeout, "what callers bear"),
		},
		{
			SectionLimits, "shutdown_grace", KindDuration, true,
			"How long a leaving node waits for the requests that still run.",
			shutdownRange,
		},
		{
			SectionLimits, "retry_percent", KindInteger, true,
			"The requests that may be sent again, in percent of all.",
			integersBetween(0, maxRetryPercent, "the load that a retry adds to upstreams in trouble"),
		},
		{
			SectionLimits, "hedge_percent", KindInteger, true,
			"The idempotent requests that may be sent to a second upstream, in percent of all.",
			integersBetween(0, maxHedgePercent, "the load that a hedge adds"),
		},
	}
}
