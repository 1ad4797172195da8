package health

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

func newPublisher() (*Publisher, *relay.Cache) {
	cache := relay.NewCache(Table, MaxAge, time.Now)
	return NewPublisher(cache, time.Now), cache
}

func changes(t *testing.T, c *relay.Cache, since store.Position) store.Snapshot {
	t.Helper()
	s, err := c.Changes(t.Context(), since, 0)
	must.NoError(t, err)
	return s
}

func TestPublisher_PublishesAndWithdrawsWarnings(t *testing.T) {
	p, cache := newPublisher()
	_, warn := p.Report("g", "e1", groups, daemons)
	must.False(t, warn, must.Sprint("no term has started"))
	p.StartTerm(7)
	start, known := cache.Rows()
	must.True(t, known)
	p.Report("g", "e1", groups, daemons)
	p.Report("g", "e2", groups, daemons)
	_, warn = p.Report("g", "e3", groups, daemons)
	must.True(t, warn)
	s := changes(t, cache, start.At)
	must.Len(t, 1, s.Rows)
	must.Eq(t, Warning{Group: "g", Reporters: []string{"e1", "e2", "e3"}}, ParseWarning(s.Rows[0]))
	must.True(t, p.ReportAlive("g"))
	must.False(t, p.ReportAlive("g"))
	s = changes(t, cache, s.At)
	must.Len(t, 1, s.Rows)
	must.True(t, s.Rows[0].Deleted)
}

// TestPublisher_AnnouncesHoldsBesideWarnings guards against confusing holds with warnings: the
// end of a warning must not remove a hold.
func TestPublisher_AnnouncesHoldsBesideWarnings(t *testing.T) {
	p, cache := newPublisher()
	p.AnnounceHold("before", nil)
	p.StartTerm(7)
	start, _ := cache.Rows()
	p.AnnounceHold("0a1b", []string{"1c", "2d"})
	p.ReportDead("g", "e2")
	p.ReportAlive("g")
	s := changes(t, cache, start.At)
	must.Len(t, 3, s.Rows, must.Sprint("announcements before the term are dropped"))
	fingerprint, parts, isHold := ParseHold(s.Rows[0])
	must.Eq(t, []string{"1c", "2d"}, parts)
	must.True(t, isHold)
	must.EqOp(t, "0a1b", fingerprint)
	for _, r := range s.Rows[1:] {
		_, _, isHold := ParseHold(r)
		must.False(t, isHold)
	}
	remaining, _ := cache.Rows()
	must.Len(t, 1, remaining.Rows)
}

// TestPublisher_TermsRise: followers of an earlier holder read all rows again, and a late
// StartTerm of an earlier term changes nothing.
func TestPublisher_TermsRise(t *testing.T) {
	p, cache := newPublisher()
	p.StartTerm(7)
	p.Report("g", "e1", groups, daemons)
	p.ReportDead("g", "e2")
	old, _ := cache.Rows()
	p.StartTerm(9)
	now, _ := cache.Rows()
	must.True(t, old.At.Before(now.At))
	must.SliceEmpty(t, now.Rows)
	p.StartTerm(8)
	again, _ := cache.Rows()
	must.EqOp(t, now.At, again.At)
	_, err := cache.Changes(t.Context(), old.At, 0)
	must.Error(t, err)
}

// TestPublisher_WarningsPassThroughARelay follows the holder's warnings from a relay, and the
// relay's from a daemon behind it, by long polls.
func TestPublisher_WarningsPassThroughARelay(t *testing.T) {
	p, cache := newPublisher()
	p.StartTerm(7)
	relayCache := relay.NewCache(Table, MaxAge, time.Now)
	relayed := make(chan store.Update, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	follow(ctx, t, cache, relayCache.Apply)
	follow(ctx, t, relayCache, func(u store.Update) { relayed <- u })
	must.True(t, (<-relayed).Full)
	w, warn := p.ReportDead("g", "e2")
	must.True(t, warn)
	for u := range relayed {
		if len(u.Rows) > 0 {
			must.Eq(t, w, ParseWarning(u.Rows[0]))
			return
		}
	}
}

// follow serves a cache and follows it until ctx ends.
func follow(ctx context.Context, t *testing.T, c *relay.Cache, apply func(store.Update)) {
	t.Helper()
	server := httptest.NewServer(rpc.NewRelayServer(relay.NewServer(nil, time.Now, c)))
	client, closeClient := relay.NewClient(&net.Dialer{}, time.Now)
	t.Cleanup(func() {
		closeClient()
		server.CloseClientConnections()
	})
	f := &store.Follower{
		Reader:       &peer{client: client, addr: strings.TrimPrefix(server.URL, "http://")},
		Table:        Table,
		Wait:         func() time.Duration { return time.Second },
		Apply:        apply,
		ReportHealth: func(string, error) {},
		Now:          time.Now,
	}
	go f.Run(ctx)
}

// peer reads a table from one daemon.
type peer struct {
	client *relay.Client
	addr   string
}

func (p *peer) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	return p.client.Changes(ctx, p.addr, table, store.Position{}, time.Second)
}

func (p *peer) Changes(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	return p.client.Changes(ctx, p.addr, table, since, wait)
}
