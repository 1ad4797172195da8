// Package control authenticates calls to the control addresses of daemons: every
// call carries a secret token that daemons and operators share.
package control

import (
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/common/conns"
	"github.com/pointpass/pointpass/common/meter"
)

const bearer = "Bearer "

// NewClient returns an HTTP client that sends the token with every call, and a
// function that closes its idle connections.
func NewClient(token string, dial meter.DialFunc) (*http.Client, func()) {
	base := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: &transport{token: token, base: conns.Checked(base)}}, base.CloseIdleConnections
}

type transport struct {
	token string
	base  http.RoundTripper
}

// RoundTrip sends a copy of the request with the token added.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearer+t.token)
	return t.base.RoundTrip(r)
}

// Require returns a handler that passes only calls with the token to next, a Twirp
// handler, and rejects all others.
func Require(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if !found || subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the control token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
