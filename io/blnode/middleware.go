package blnode

import (
	"fmt"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/justinas/alice"
)

// chain returns the middleware common to all HTTP handlers.
func (n *Node) chain() alice.Chain {
	return alice.New(n.recoverPanic)
}

// recoverPanic logs a panic of a handler and breaks the connection, so that a fault
// in one request neither terminates the process nor ends a response that has begun
// as if it were whole.
func (n *Node) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if recovered == http.ErrAbortHandler { //nolint:errorlint,err113 // net/http compares with this exact value
				panic(recovered)
			}
			n.logger.Error("panic in HTTP handler", "fault", fmt.Sprint(recovered), "stack", hclog.Stacktrace())
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
