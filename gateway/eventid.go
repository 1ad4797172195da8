package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// eventID names one event of a streamed answer: the group that generates it,
// the request and the event's number. Any daemon can resume the stream from
// it; none has to remember it.
type eventID struct {
	group   string
	request string
	offset  int
}

// maxEventID is the longest event id that is taken, in bytes.
const maxEventID = 200

// String returns the id as callers see it.
func (id eventID) String() string {
	return id.group + "/" + id.request + "/" + strconv.Itoa(id.offset)
}

// parseEventID reads an id that a caller sent back.
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

// streamName is the name under which an engine keeps an answer. It depends on
// the customer, so that no customer finds another's answer, whatever ids it
// makes up.
func streamName(customer, request string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + request))
	return hex.EncodeToString(sum[:16])
}
