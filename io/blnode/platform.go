package blnode

import (
	"context"
	"net/http"
	"time"

	"github.com/justinas/alice"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blhold"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/blhttp"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
	"bergamotlead/io/blupstream"
)

// ConfigSource brings the deployment's configuration.
type ConfigSource interface {
	// Load returns the configuration that stands. One that is absent has
	// revision zero.
	Load(ctx context.Context) (blconfig.Accepted, error)
	// Watch waits for a configuration after revision and returns it, or the one
	// that stands when nothing happens for a while.
	Watch(ctx context.Context, revision uint64) (blconfig.Accepted, error)
	// Decode reads a configuration that crosses between nodes as text.
	Decode(revision uint64, source []byte) (blconfig.Accepted, error)
}

// OrderSender calls an upstream that keeps its grants itself.
type OrderSender interface {
	// Send calls the upstream once for each order and returns the answers in
	// their order.
	Send(ctx context.Context, send blhold.Send) []blhold.Answer
}

// Platform is what varies between the platforms on which a node runs.
type Platform struct {
	Store  blplatform.Store
	Config ConfigSource
	// FollowsConfig tells that every node reads configurations itself, rather
	// than the lead alone.
	FollowsConfig bool
	Callers       blhttp.Dialect
	Upstreams     blupstream.Dialect
	// HeaderNames lists the header fields that most requests or answers carry.
	HeaderNames []string
	// Transport carries requests to upstreams. It must not repeat them.
	Transport http.RoundTripper
	// Orders is nil where no upstream keeps its grants itself.
	Orders OrderSender
	// Announcements returns the handler of the upstreams' announcements.
	Announcements func(announce func(blmember.Announcement) error, chain alice.Chain) http.Handler
	// ReadyPath is where the platform asks whether the node takes work.
	ReadyPath string
	// Timing holds until a configuration is known.
	Timing   bllead.Timing
	Patience blmember.Patience
	// LeaveAfter is how long a leaving node goes on taking callers' requests, so
	// that the platform can send them elsewhere.
	LeaveAfter time.Duration
}

const (
	initialLease    = 500 * time.Millisecond
	initialGrantTTL = 900 * time.Millisecond
	initialMargin   = 30 * time.Millisecond
	upstreamIdle    = 128
	upstreamTimeout = 90 * time.Second
)

// OwnPlatform returns the project's own interfaces: the store over HTTP, the
// configuration document, and callers and upstreams that speak to it as
// docs/OPERATIONS.md tells.
func OwnPlatform(settings blsettings.Process, _ bltimer.Clock) Platform {
	store := blstore.New(settings.Store)
	return Platform{
		Store: store, Config: documentSource{store: store}, Callers: blhttp.Own{}, Upstreams: blupstream.Own{},
		Transport: &http.Transport{
			MaxIdleConnsPerHost: upstreamIdle, IdleConnTimeout: upstreamTimeout, DisableCompression: true,
		},
		Announcements: blupstream.AnnounceHandler,
		Timing:        bllead.Timing{Lease: initialLease, GrantTTL: initialGrantTTL, Margin: initialMargin},
		Patience:      blmember.DefaultPatience(),
	}
}
