package blnode

import (
	"context"
	"net/http"
	"time"

	"github.com/justinas/alice"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blhttp"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
	"bergamotlead/io/blupstream"
)

// ConfigSource provides the deployment's configuration.
type ConfigSource interface {
	// Load returns the current configuration. Its revision is zero if there is
	// none.
	Load(ctx context.Context) (blconfig.Accepted, error)
	// Watch waits for a configuration newer than revision and returns it, or
	// returns the current one if nothing changes for a while.
	Watch(ctx context.Context, revision uint64) (blconfig.Accepted, error)
	// Decode parses a configuration that another node has sent as text.
	Decode(revision uint64, source []byte) (blconfig.Accepted, error)
}

// OrderSender sends orders to an upstream that keeps its grants itself.
type OrderSender interface {
	// Send calls the upstream once for each order and returns the answers in the
	// sequence of the orders.
	Send(ctx context.Context, send blreconciler.Send) []blreconciler.Answer
}

// RolloutStatuses stores the status of roll-outs where operators read it.
type RolloutStatuses interface {
	// Revision returns the revision of the status of a service, zero if there is none.
	Revision(ctx context.Context, service blvalue.ServiceName) (uint64, error)
	// Replace writes a status if the one of its service is still at the revision.
	Replace(ctx context.Context, revision uint64, status blrollout.Status) error
}

// Platform holds the integrations and parameters that differ between the
// platforms on which a node runs.
type Platform struct {
	Store blplatform.Store
	// ObserveStore has a function called with the error of each broken response of the
	// store. It may be nil.
	ObserveStore func(broken func(error))
	Config       ConfigSource
	// AllNodesReadConfig is set if every node reads configurations itself, rather than
	// the lead alone.
	AllNodesReadConfig bool
	CallerProtocol     blhttp.Protocol
	UpstreamProtocol   blupstream.Protocol
	// HeaderNames lists the header fields that most requests or responses carry.
	// Nodes send them to each other as indexes into this list.
	HeaderNames []string
	// Transport carries requests to upstreams. It must not retry them.
	Transport http.RoundTripper
	// Orders is nil on platforms where no upstream keeps its grants itself.
	Orders OrderSender
	// Rollouts is nil on platforms without roll-out orders.
	Rollouts RolloutStatuses
	// UpstreamAddress is the address at which an upstream that keeps its grants takes
	// orders before it has announced itself, or empty if it is unknown.
	UpstreamAddress string
	// Announcements returns the HTTP handler for the upstreams' announcements. It
	// passes them to the membership duty by put, and calls rejected with the reason
	// why it rejected one.
	Announcements func(put func(blmember.Message) error, rejected func(error), chain alice.Chain) http.Handler
	// ReadinessPath is the path of the platform's readiness probe.
	ReadinessPath string
	// Timing applies until a configuration is known.
	Timing           bllead.Timing
	UpstreamTimeouts blmember.UpstreamTimeouts
	// DrainDelay is how long a leaving node keeps accepting callers' requests, so
	// that the platform can redirect callers to other nodes in the meantime.
	DrainDelay time.Duration
}

const (
	initialLease    = 500 * time.Millisecond
	initialGrantTTL = 900 * time.Millisecond
	initialMargin   = 30 * time.Millisecond
)

// DefaultPlatform returns the platform with the project's native protocols: the
// store over HTTP, the configuration document, and callers and upstreams that use
// the protocols described in docs/OPERATIONS.md.
func DefaultPlatform(settings blsettings.Process, _ bltimer.Clock) Platform {
	store := blstore.New(settings.Store)
	return Platform{
		Store: store, ObserveStore: store.Observe, Config: documentSource{store: store}, CallerProtocol: blhttp.NativeProtocol{}, UpstreamProtocol: blupstream.NativeProtocol{},
		Transport:        blupstream.NewTransport(),
		Announcements:    blupstream.AnnounceHandler,
		Timing:           bllead.Timing{Lease: initialLease, GrantTTL: initialGrantTTL, ClockMargin: initialMargin},
		UpstreamTimeouts: blmember.DefaultUpstreamTimeouts(),
	}
}
