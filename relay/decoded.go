package relay

import (
	"path"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/pointpass/pointpass/rpc"
)

// Estimates of the memory of decoded messages, beside the bytes of their texts.
const (
	messageOverhead = 128 // a message and the pointer to it
	elementOverhead = 24  // an element of a list of texts or bytes
)

// messageOf returns the message that a call with a path takes, nil for an unknown one.
func messageOf(callPath string) protoreflect.MessageDescriptor {
	method := rpc.File_pointpass_proto.Services().ByName("Relay").Methods().ByName(protoreflect.Name(path.Base(callPath)))
	if method == nil {
		return nil
	}
	return method.Input()
}

// decodedBytes returns about how much memory an encoded message takes once it is decoded. Malformed data, which isn't
// decoded, counts up to the fault.
func decodedBytes(m protoreflect.MessageDescriptor, data []byte) int {
	size := messageOverhead + len(data)
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return size
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, kind, data)
		if n < 0 {
			return size
		}
		if field := m.Fields().ByNumber(number); field != nil && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(data)
			switch {
			case field.Message() != nil:
				size += decodedBytes(field.Message(), value)
			case field.IsList():
				size += elementOverhead
			}
		}
		data = data[n:]
	}
	return size
}
