package blgrpc

import (
	"encoding/hex"

	"bergamotlead/io/blgrpc/blproto"
)

// Names are header fields that most requests or answers carry. They cross
// between nodes as numbers. Every node must have the same list.
type Names struct {
	list      []string
	positions map[string]uint32
}

// NewNames returns the list of the given names.
func NewNames(names ...string) Names {
	positions := make(map[string]uint32, len(names))
	for i, name := range names {
		positions[name] = uint32(i + 1)
	}
	return Names{list: names, positions: positions}
}

func (n Names) toProto(header map[string][]string) []*blproto.Field {
	fields := make([]*blproto.Field, 0, len(header))
	for name, values := range header {
		if position, ok := n.positions[name]; ok {
			fields = append(fields, &blproto.Field{Usual: position, Values: values})
			continue
		}
		fields = append(fields, &blproto.Field{Name: name, Values: values})
	}
	return fields
}

func (n Names) fromProto(fields []*blproto.Field) map[string][]string {
	header := make(map[string][]string, len(fields))
	for _, field := range fields {
		name := field.GetName()
		if position := int(field.GetUsual()); position > 0 && position <= len(n.list) {
			name = n.list[position-1]
		}
		header[name] = field.GetValues()
	}
	return header
}

// digestToProto packs a digest that is written in hexadecimal.
func digestToProto(digest string) []byte {
	packed, err := hex.DecodeString(digest)
	if err != nil {
		// A digest that isn't hexadecimal belongs to no client account.
		return nil
	}
	return packed
}
