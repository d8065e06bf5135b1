package bloperator

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"os"
	"strings"

	"github.com/justinas/alice"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
	"bergamotlead/io/blmetric"
)

// maxChangeBytes leaves room for a document of 1 MiB encoded as JSON.
const maxChangeBytes = 3 << 20

// Operator serves the operators' interface of a node.
type Operator struct {
	node      Node
	metrics   *blmetric.Set
	tokenFile string
	chain     alice.Chain
}

// New returns the operators' interface of node. Calls that change state or
// return profiles require the token in the file at tokenFile; without a file they
// are refused.
func New(node Node, metrics *blmetric.Set, tokenFile string, chain alice.Chain) *Operator {
	return &Operator{node: node, metrics: metrics, tokenFile: tokenFile, chain: chain}
}

// Handler returns the handler of all paths. It fails when the console's templates
// can't be parsed.
func (o *Operator) Handler() (http.Handler, error) {
	mux := http.NewServeMux()
	console, err := newConsole(o)
	if err != nil {
		return nil, err
	}
	console.register(mux)
	mux.HandleFunc("GET /status", o.status)
	mux.HandleFunc("GET /assignment/{service}", o.assignment)
	mux.HandleFunc("GET /owner/{service}/{key}", o.owner)
	mux.HandleFunc("GET /config", o.config)
	mux.HandleFunc("GET /config/history", o.history)
	mux.Handle("POST /config", o.withToken(o.change))
	mux.Handle("POST /hosts/{host}/lost", o.withToken(o.lost))
	mux.HandleFunc("GET /metrics", o.metricsPage)
	mux.Handle("GET /debug/pprof/profile", o.withToken(pprof.Profile))
	mux.Handle("GET /debug/pprof/", o.withToken(pprof.Index))
	return o.chain.Then(mux), nil
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// withToken requires the operators' token.
func (o *Operator) withToken(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, err := o.token()
		if err != nil {
			http.Error(w, "changes are off: "+err.Error(), http.StatusForbidden)
			return
		}
		given := blheader.ClientKey(r.Header[blheader.Authorization])
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			http.Error(w, "the operator's token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	})
}

// TokenError reports that no operators' token is set.
type TokenError struct{}

// Error implements error.
func (TokenError) Error() string {
	return "no operator's token is set"
}

func (o *Operator) token() (string, error) {
	if o.tokenFile == "" {
		return "", TokenError{}
	}
	text, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return "", fmt.Errorf("read operator's token: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", TokenError{}
	}
	return token, nil
}

func (o *Operator) status(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, o.node.Status())
}

func (o *Operator) assignment(w http.ResponseWriter, r *http.Request) {
	assignment, ok := o.node.Assignment(blvalue.ServiceName(r.PathValue("service")))
	if !ok {
		http.Error(w, "no such service, or it isn't divided by key", http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, assignment)
}

func (o *Operator) owner(w http.ResponseWriter, r *http.Request) {
	service, key := blvalue.ServiceName(r.PathValue("service")), blvalue.Key(r.PathValue("key"))
	owner, ok := o.node.OwnerOf(service, key)
	if !ok {
		http.Error(w, "the key has no owner", http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]string{"owner": string(owner)})
}

func (o *Operator) config(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, o.node.Config())
}

func (o *Operator) history(w http.ResponseWriter, r *http.Request) {
	history, err := o.node.History(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	respond(w, http.StatusOK, history)
}

func (o *Operator) change(w http.ResponseWriter, r *http.Request) {
	var change Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&change); err != nil {
		http.Error(w, "read change: "+err.Error(), http.StatusBadRequest)
		return
	}
	result := o.node.Change(r.Context(), change)
	respond(w, statusOf(result), result)
}

func statusOf(result ChangeResult) int {
	switch result.Result {
	case ResultAccepted:
		return http.StatusOK
	case ResultConflict:
		return http.StatusConflict
	case ResultRefused:
		return http.StatusUnprocessableEntity
	case ResultUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func (o *Operator) lost(w http.ResponseWriter, r *http.Request) {
	if err := o.node.MarkLost(r.Context(), blvalue.HostName(r.PathValue("host"))); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (o *Operator) metricsPage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.metrics.Write(w)
}
