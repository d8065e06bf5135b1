package blupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/justinas/alice"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// announcementBody is the JSON body that an upstream posts to /announce.
type announcementBody struct {
	Name        blvalue.UpstreamName `json:"name"`
	Incarnation blvalue.Incarnation  `json:"incarnation"`
	Service     blvalue.ServiceName  `json:"service"`
	Address     string               `json:"address"`
	Slots       int                  `json:"slots"`
	ChecksFence bool                 `json:"checks_fence"`
	ClockMS     int64                `json:"clock_ms"`
	Cold        bool                 `json:"cold"`
	Load        int                  `json:"load"`
	Leaving     bool                 `json:"leaving"`
}

// GrantBody is the JSON body of a grant sent to an upstream that checks fences.
type GrantBody struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	// Partitions is the bitmap of the granted partitions, lowest first.
	Partitions []uint64 `json:"partitions"`
	// UntilClockMS is when the grant expires, by the upstream's own clock, in
	// milliseconds.
	UntilClockMS int64 `json:"until_clock_ms"`
}

// GrantPath is the path to which the grants of an upstream that checks fences are
// sent.
const GrantPath = "/bergamotlead/grant"

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// AnnounceHandler returns the handler that receives the announcements of the
// upstreams local to the node and passes them to the membership duty by put. It calls
// rejected with the reason why an announcement was rejected.
func AnnounceHandler(
	put func(blmember.Message) error, rejected func(error), chain alice.Chain,
) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", func(w http.ResponseWriter, r *http.Request) {
		announcement, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		if err != nil {
			rejected(err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := put(blmember.Announced{Announcement: announcement}); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return chain.Then(mux)
}

func readAnnouncement(body io.Reader) (blmember.Announcement, error) {
	var decoded announcementBody
	if err := json.NewDecoder(body).Decode(&decoded); err != nil {
		return blmember.Announcement{}, fmt.Errorf("read announcement: %w", err)
	}
	announcement := decoded.announcement()
	return announcement, announcement.Check() //nolint:wrapcheck // the error names the field and the reason
}

func (b announcementBody) announcement() blmember.Announcement {
	return blmember.Announcement{
		Upstream: blvalue.Upstream{
			Name: b.Name, Incarnation: b.Incarnation, Service: b.Service, Slots: b.Slots,
			ChecksFence: b.ChecksFence, Leaving: b.Leaving,
		},
		Address: b.Address, ClockMS: b.ClockMS, Cold: b.Cold, Load: b.Load,
	}
}

// GrantSender sends grants to the upstreams that check fences.
type GrantSender struct {
	clock  bltimer.Clock
	client *http.Client
}

const grantTimeout = 200 * time.Millisecond

// NewGrantSender returns a sender that reads the time from clock.
func NewGrantSender(clock bltimer.Clock) *GrantSender {
	return &GrantSender{clock: clock, client: &http.Client{Timeout: grantTimeout, Transport: NewTransport()}}
}

// ReceivedAnnouncement is an announcement and the time at which it was received.
type ReceivedAnnouncement struct {
	Announcement blmember.Announcement
	receivedAt   bltimer.Instant
	// suspended is the time for which the host had been suspended by then.
	suspended time.Duration
}

// NewReceivedAnnouncement returns an announcement that has just been received.
func NewReceivedAnnouncement(clock bltimer.Clock, announcement blmember.Announcement) ReceivedAnnouncement {
	return ReceivedAnnouncement{Announcement: announcement, receivedAt: clock.Now(), suspended: clock.Suspended()}
}

// Send sends a grant to its upstream. The expiry is converted to the upstream's
// own clock. The upstream read that clock before it sent the announcement, and it may not
// count suspensions of the host since, so the grant can only expire early there.
func (g *GrantSender) Send(grant blgrant.Grant, received ReceivedAnnouncement) error {
	suspended := g.clock.Suspended() - received.suspended
	until := received.Announcement.ClockMS + (grant.Until.Sub(received.receivedAt) - suspended).Milliseconds()
	body, err := json.Marshal(GrantBody{
		Term: grant.Fence.Term, Sequence: grant.Fence.Sequence, Partitions: grant.Set.Words(), UntilClockMS: until,
	})
	if err != nil {
		return fmt.Errorf("encode grant: %w", err)
	}
	url := "http://" + received.Announcement.Address + GrantPath
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build grant: %w", err)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return fmt.Errorf("send grant: %w", err)
	}
	_ = response.Body.Close()
	return nil
}
