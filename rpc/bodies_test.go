package rpc

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// allowedFields lists the fields of calls between daemons on the users' platform that
// hold text or bytes of any length: rows of the store, names, addresses.
var allowedFields = map[protoreflect.FullName]bool{
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
	// The row by which a daemon announces itself: the address that serves other daemons, its
	// hall, its share of a core. The receiver limits it to 4 KB.
	"pointpass.rpc.EnlistRequest.name":  true,
	"pointpass.rpc.EnlistRequest.value": true,
	// A request that was lost with its worker: 16 bytes of a keyed hash, whose length the
	// receiver checks. They reveal nothing about the request.
	"pointpass.rpc.LostRun.fingerprint":     true,
	"pointpass.rpc.CrashesRequest.finished": true,
	// The same of the id of a part of a prompt.
	"pointpass.rpc.LostRun.parts":           true,
	"pointpass.rpc.PartOutput.part":         true,
	"pointpass.rpc.CrashesRequest.reporter": true,
	"pointpass.rpc.WorkerCrash.worker":      true,
	// The id of a worker that reported a limit.
	"pointpass.rpc.WorkerLimit.worker": true,
}

// TestRelay_PassesNoBodies guards against request bodies that leave the regions they are
// bound to through another daemon. These calls exchange only rows of the store and observations
// of groups, so no message may have a field that could carry a caller's request: requests that
// are forwarded take another way, which observes regions. A new entry in allowedFields needs a
// comment on its content.
func TestRelay_PassesNoBodies(t *testing.T) {
	methods := File_pointpass_proto.Services().ByName("Relay").Methods()
	seen := map[protoreflect.FullName]bool{}
	for i := range methods.Len() {
		collect(methods.Get(i).Input(), seen)
		collect(methods.Get(i).Output(), seen)
	}
	must.MapEq(t, allowedFields, seen)
}

// collect adds the text and bytes fields of a message and of the messages nested in it.
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
