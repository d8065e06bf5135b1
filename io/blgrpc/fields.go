package blgrpc

import (
	"encoding/hex"

	"bergamotlead/io/blgrpc/blproto"
)

// HeaderTable lists the header fields that most requests or answers carry. Nodes
// send them to each other as positions in the table, so every node must have the
// same one.
type HeaderTable struct {
	names []string
	// positions maps each name to its index plus one, since zero in a message
	// means that the field carries its name.
	positions map[string]uint32
}

// NewHeaderTable returns a table of the given names.
func NewHeaderTable(names ...string) HeaderTable {
	positions := make(map[string]uint32, len(names))
	for i, name := range names {
		positions[name] = uint32(i + 1)
	}
	return HeaderTable{names: names, positions: positions}
}

func (t HeaderTable) toProto(header map[string][]string) []*blproto.Field {
	fields := make([]*blproto.Field, 0, len(header))
	for name, values := range header {
		if position, ok := t.positions[name]; ok {
			fields = append(fields, &blproto.Field{Usual: position, Values: values})
			continue
		}
		fields = append(fields, &blproto.Field{Name: name, Values: values})
	}
	return fields
}

func (t HeaderTable) fromProto(fields []*blproto.Field) map[string][]string {
	header := make(map[string][]string, len(fields))
	for _, field := range fields {
		name := field.GetName()
		if position := int(field.GetUsual()); position > 0 && position <= len(t.names) {
			name = t.names[position-1]
		}
		header[name] = field.GetValues()
	}
	return header
}

// digestToProto decodes a hexadecimal digest to bytes.
func digestToProto(digest string) []byte {
	decoded, err := hex.DecodeString(digest)
	if err != nil {
		// No client account has a digest that isn't hexadecimal.
		return nil
	}
	return decoded
}
