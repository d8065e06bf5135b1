package blconfig

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

func partitionRange(d Document, entry string, v Value) RangeCheck {
	upstreams := d.value(SectionServices, entry, "upstreams").Integer
	return integerRange(v, max(minPartitionsPerUpstream*upstreams, 1), maxPartitions,
		"four partitions an upstream to share load evenly, and the 16 bits of a partition's number")
}

func coldStartRange(d Document, entry string, v Value) RangeCheck {
	return integerRange(v, 1, d.value(SectionServices, entry, "slots").Integer, "the service's slots")
}

// capacity returns the requests per second that the upstreams of all services can
// serve, from their slots and service times.
func capacity(d Document) int64 {
	total := 0.0
	for _, name := range d.Entries(SectionServices) {
		service := newService(d, name)
		if service.ServiceTime <= 0 {
			continue
		}
		total += float64(service.Slots*service.Upstreams) / service.ServiceTime.Seconds()
	}
	return int64(total)
}

func rateRange(d Document, entry string, v Value) RangeCheck {
	others := int64(0)
	for _, name := range d.Entries(SectionAccounts) {
		if name != entry {
			others += d.value(SectionAccounts, name, "rate").Integer
		}
	}
	return integerRange(v, 1, max(capacity(d)-others, 0),
		"the slots of all upstreams over their service time, less the rates of the other accounts")
}

func burstRange(d Document, entry string, v Value) RangeCheck {
	rate := d.value(SectionAccounts, entry, "rate").Integer
	return integerRange(v, 1, max(rate*int64(MaxBurstDuration/time.Second), 1),
		fmt.Sprintf("%s of the account's rate", MaxBurstDuration))
}

func digestRange(_ Document, _ string, v Value) RangeCheck {
	inRange := true
	for _, digest := range v.List {
		raw, err := hex.DecodeString(digest)
		inRange = inRange && err == nil && len(raw) == digestBytes
	}
	return RangeCheck{Allowed: "64 hexadecimal digits each", SetBy: "SHA-256", InRange: inRange}
}

func serviceListRange(d Document, _ string, v Value) RangeCheck {
	inRange := len(v.List) > 0
	known := d.Entries(SectionServices)
	for _, name := range v.List {
		inRange = inRange && slices.Contains(known, name)
	}
	return RangeCheck{Allowed: "one or more of " + strings.Join(known, ", "), SetBy: "the services of the document", InRange: inRange}
}

func serviceRange(d Document, _ string, v Value) RangeCheck {
	known := d.Entries(SectionServices)
	return RangeCheck{Allowed: "one of " + strings.Join(known, ", "), SetBy: "the services of the document", InRange: slices.Contains(known, v.Text)}
}

func pathRange(_ Document, _ string, v Value) RangeCheck {
	return RangeCheck{
		Allowed: "a path without a leading slash, or *",
		SetBy:   "the form of a caller's URL, /service/key/path",
		InRange: len(v.Text) <= maxPathBytes && (v.Text == "" || v.Text[0] != '/'),
	}
}

func heartbeatRange(d Document, _ string, v Value) RangeCheck {
	ttl := d.value(SectionTiming, "", "grant_ttl").Duration
	return durationRange(v, minHeartbeat, ttl/HeartbeatsPerGrant,
		"the control traffic of a node, and a third of grant_ttl")
}

func grantRange(d Document, _ string, v Value) RangeCheck {
	heartbeat := d.value(SectionTiming, "", "heartbeat").Duration
	lease := d.value(SectionTiming, "", "lead_lease").Duration
	return durationRange(v, HeartbeatsPerGrant*heartbeat, RecoveryTarget-lease-heartbeat,
		"three heartbeats, and the recovery target less lead_lease and a heartbeat")
}

func leadLeaseRange(d Document, _ string, v Value) RangeCheck {
	return durationRange(v, minLeadLease, d.value(SectionTiming, "", "grant_ttl").Duration,
		"four renewals by the store, and a takeover within grant_ttl")
}

func freshnessRange(d Document, _ string, v Value) RangeCheck {
	return durationRange(v, d.value(SectionTiming, "", "grant_ttl").Duration, ConfigPropagationTarget/2,
		"grant_ttl, and half of the time in which a configuration is in force")
}

func shutdownRange(d Document, _ string, v Value) RangeCheck {
	return durationRange(v, d.value(SectionLimits, "", "request_timeout").Duration, maxShutdownGrace,
		"request_timeout, so that no request is cut short")
}
