package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// eventID identifies one event of a streamed answer: the group that generates it,
// the request and the event's number. It holds all that a daemon needs to resume
// the stream, so daemons keep no state for it.
type eventID struct {
	group   string
	request string
	offset  int
}

// maxEventID is the maximum length of an event id in bytes.
const maxEventID = 200

// String returns the id in the form that is sent to callers.
func (id eventID) String() string {
	return id.group + "/" + id.request + "/" + strconv.Itoa(id.offset)
}

// parseEventID parses an id that a caller sent back.
func parseEventID(text string) (eventID, bool) {
	if len(text) > maxEventID {
		return eventID{}, false
	}
	parts := strings.Split(text, "/")
	if len(parts) != 3 || parts[0] == "" {
		return eventID{}, false
	}
	request, err := uuid.Parse(parts[1])
	if err != nil || request.String() != parts[1] {
		return eventID{}, false
	}
	offset, err := strconv.Atoi(parts[2])
	if err != nil || offset < 0 || strconv.Itoa(offset) != parts[2] {
		return eventID{}, false
	}
	return eventID{group: parts[0], request: parts[1], offset: offset}, true
}

// streamName returns the name under which an engine keeps an answer. The name
// depends on the customer, so that a customer can't read another customer's
// answer with a guessed id.
func streamName(customer, request string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + request))
	return hex.EncodeToString(sum[:16])
}
