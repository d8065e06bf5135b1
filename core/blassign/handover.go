package blassign

import (
	"strconv"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blvalue"
)

// withHandovers keeps what upstreams gave back with partitions for their next
// owners.
func (s State[P]) withHandovers(m Heartbeat) State[P] {
	for _, held := range m.Held {
		for _, handover := range held.Handovers {
			s.handovers = s.handovers.With(handoverKey(held.Service, handover.Partition), handover.Token)
		}
	}
	return s
}

func handoverKey(service blvalue.ServiceName, p blvalue.Partition) string {
	return string(service) + "/" + strconv.Itoa(int(p))
}

// takeHandovers returns what the earlier owners of partitions gave back.
func (s State[P]) takeHandovers(service blvalue.ServiceName, set blvalue.PartitionSet) []blgrant.Handover {
	var list []blgrant.Handover
	if s.handovers.Len() == 0 {
		return nil
	}
	for p := range set.All() {
		if token, ok := s.handovers.Get(handoverKey(service, p)); ok {
			list = append(list, blgrant.Handover{Partition: p, Token: token})
		}
	}
	return list
}
