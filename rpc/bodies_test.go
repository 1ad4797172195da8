package rpc

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// relayed are the fields of calls between daemons on the users' platform that hold text
// or bytes of any length: rows of the store, names, addresses.
var relayed = map[protoreflect.FullName]bool{
	"pointpass.rpc.ChangesRequest.table":    true,
	"pointpass.rpc.ChangesReply.packed":     true,
	"pointpass.rpc.StoreRow.key":            true,
	"pointpass.rpc.StoreRow.value":          true,
	"pointpass.rpc.SuspectRequest.group":    true,
	"pointpass.rpc.SuspectRequest.reporter": true,
	"pointpass.rpc.LoadRequest.reporter":    true,
	"pointpass.rpc.ModelLoad.service":       true,
	"pointpass.rpc.ModelLoad.model":         true,
	"pointpass.rpc.ModelLoad.regions":       true,
	// The row by which a daemon announces itself: where it serves others, its hall, its share
	// of a core. The taker bounds it to 4 KB.
	"pointpass.rpc.EnlistRequest.name":  true,
	"pointpass.rpc.EnlistRequest.value": true,
	// Of a request that was lost with its worker: 16 bytes of a keyed hash, whose length the
	// taker checks. Nothing of the request can be told from them.
	"pointpass.rpc.LostRun.fingerprint":     true,
	"pointpass.rpc.CrashesRequest.finished": true,
	"pointpass.rpc.CrashesRequest.reporter": true,
	"pointpass.rpc.WorkerCrash.worker":      true,
	// The id of a worker that names a limit.
	"pointpass.rpc.WorkerLimit.worker": true,
}

// TestRelay_PassesNoBodies: a request that is bound to regions must not pass a daemon in
// another one. Daemons tell each other only rows of the store and what they saw of
// groups, so that none has a field that a caller's request would fit in. Who adds one
// here says what it holds.
func TestRelay_PassesNoBodies(t *testing.T) {
	methods := File_pointpass_proto.Services().ByName("Relay").Methods()
	seen := map[protoreflect.FullName]bool{}
	for i := range methods.Len() {
		collect(methods.Get(i).Input(), seen)
		collect(methods.Get(i).Output(), seen)
	}
	must.MapEq(t, relayed, seen)
}

// collect notes the fields of text or bytes that a message holds, itself or in others.
func collect(m protoreflect.MessageDescriptor, seen map[protoreflect.FullName]bool) {
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		switch f.Kind() {
		case protoreflect.StringKind, protoreflect.BytesKind:
			seen[f.FullName()] = true
		case protoreflect.MessageKind:
			collect(f.Message(), seen)
		}
	}
}
