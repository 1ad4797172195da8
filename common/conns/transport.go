package conns

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Checked returns a transport that checks responses as a Pool does: heads must be HTTP, and the end of a body that ends
// with its connection must be one in order. It changes how base opens connections, so base must be new.
func Checked(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: raw}, nil
	}
	return &checkedTransport{base}
}

type checkedTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.expectHead(nil)
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil && !IsFinal(resp.StatusCode) {
		resp.Body.Close()
		return nil, ErrNotFinal
	}
	return resp, err
}
