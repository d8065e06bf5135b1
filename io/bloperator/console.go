package bloperator

import (
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"slices"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blsettings"
)

//go:embed pages/*.html
var pageFiles embed.FS

const (
	sessionCookie = "bergamotlead_session"
	// applyWaitMS is how long the apply form waits until a change is in force.
	applyWaitMS  = 10000
	maxFormBytes = 3 << 20
)

// console serves the HTML console, which works without scripts.
type console struct {
	operator *Operator
	pages    *template.Template
}

func newConsole(o *Operator) (*console, error) {
	pages, err := template.ParseFS(pageFiles, "pages/*.html")
	if err != nil {
		return nil, fmt.Errorf("read pages: %w", err)
	}
	return &console{operator: o, pages: pages}, nil
}

func (c *console) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /{$}", c.withSession(c.state))
	mux.HandleFunc("GET /login", c.loginPage)
	mux.HandleFunc("POST /login", c.login)
	mux.HandleFunc("GET /settings", c.withSession(c.settings))
	mux.HandleFunc("POST /settings/preview", c.withSession(c.preview))
	mux.HandleFunc("POST /settings/apply", c.withSession(c.apply))
	mux.HandleFunc("GET /owners/{service}", c.withSession(c.owners))
}

// render writes a page with headers that prevent framing and injected scripts.
func (c *console) render(w http.ResponseWriter, status int, page string, data any) {
	header := w.Header()
	header.Set("Content-Type", "text/html; charset=utf-8")
	header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Referrer-Policy", "no-referrer")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = c.pages.ExecuteTemplate(w, page, data)
}

type stateData struct {
	Status   Status
	Services []blvalue.ServiceName
}

func (c *console) state(w http.ResponseWriter, _ *http.Request) {
	data := stateData{Status: c.operator.node.Status()}
	if document, err := blsettings.ParseDocument([]byte(c.operator.node.Config().Document)); err == nil {
		for name, service := range blconfig.NewPlan(document).Services {
			if service.Kind == blconfig.ServiceExclusive {
				data.Services = append(data.Services, name)
			}
		}
		slices.Sort(data.Services)
	}
	c.render(w, http.StatusOK, "state.html", data)
}

func (c *console) owners(w http.ResponseWriter, r *http.Request) {
	assignment, ok := c.operator.node.Assignment(blvalue.ServiceName(r.PathValue("service")))
	if !ok {
		http.Error(w, "no such service, or it isn't divided by key", http.StatusNotFound)
		return
	}
	c.render(w, http.StatusOK, "owners.html", assignment)
}
