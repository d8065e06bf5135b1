package blconfig

import (
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
