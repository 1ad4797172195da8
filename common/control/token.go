// Package control protects the addresses that daemons and operators use among
// themselves: every call carries the secret that they share.
package control

import (
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/common/meter"
)

const bearer = "Bearer "

// NewClient returns an HTTP client that sends the token with every call, and a
// function that frees its connections.
func NewClient(token string, dial meter.Dial) (*http.Client, func()) {
	base := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: &transport{token: token, base: base}}, base.CloseIdleConnections
}

type transport struct {
	token string
	base  http.RoundTripper
}

// RoundTrip adds the token to a copy of the request.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearer+t.token)
	return t.base.RoundTrip(r)
}

// Require lets only calls with the token through to a Twirp handler.
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
