package blassign

import (
	"strconv"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blvalue"
)

// withHandovers keeps the tokens that upstreams returned with partitions for
// the next owners.
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

// handoversFor returns the tokens that earlier owners returned with the
// partitions.
func (s State[P]) handoversFor(service blvalue.ServiceName, set blvalue.PartitionSet) []blgrant.Handover {
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
