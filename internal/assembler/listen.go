package assembler

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"

	"github.com/endivelock/endivelock/internal/limiter"
)

// maxOperatorConnections bounds the connections of operators and scrapers.
const maxOperatorConnections = 64

// httpServers holds the HTTP servers of an entry in the order in which they stop.
type httpServers struct {
	callers   *http.Server
	forward   *http.Server
	operators *http.Server
}

// listen opens all sockets before any service starts, so that Run fails at once
// on a bad address.
func (e *Entry) listen() error {
	budgets := limiter.NewBudgets(e.settings.Memory<<20, 0)
	owner := limiter.New(budgets.Bytes, e.countClosed)
	for _, l := range []struct {
		name    string
		address string
		most    int
		target  **limiter.Listener
	}{
		{"peers", e.settings.Listen.Peers, budgets.Connections / 2, &e.listeners.peers},
		{"forward", e.settings.Listen.Forward, budgets.Connections / 2, &e.listeners.forward},
		{"operators", e.settings.Listen.Operators, maxOperatorConnections, &e.listeners.operators},
		{"callers", e.settings.Listen.Callers, budgets.Connections, &e.listeners.callers},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "open listener for %s", l.name)
		}
		*l.target = owner.Listen(opened, l.most, defaultLimits)
	}
	return nil
}

func defaultLimits() limiter.Limits { return limiter.Limits{} }

// countClosed counts a connection that was closed or a request that was refused at a limit.
func (e *Entry) countClosed(reason string) {
	metrics.GetOrRegisterCounter(reason, e.closed).Inc(1)
}

// serviceFunc adapts a function to suture.Service.
type serviceFunc struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the function.
func (f serviceFunc) Serve(ctx context.Context) error { return f.serve(ctx) }

// String returns the name that the supervisor logs.
func (f serviceFunc) String() string { return f.name }

func (e *Entry) addListeners(supervisor *suture.Supervisor) httpServers {
	s := httpServers{
		callers:   newServer(e.callersMux(), e.listeners.callers.Relays()),
		forward:   newServer(e.forwards, e.listeners.forward.Relays()),
		operators: newServer(e.operatorsMux(), e.listeners.operators),
	}
	supervisor.Add(httpService("callers", s.callers, e.listeners.callers))
	supervisor.Add(httpService("forward", s.forward, e.listeners.forward))
	supervisor.Add(httpService("operators", s.operators, e.listeners.operators))
	supervisor.Add(serviceFunc{"peers", func(ctx context.Context) error {
		err := e.gossiper.Listen(ctx, e.listeners.peers.Streams())
		return errors.Mark(err, suture.ErrDoNotRestart)
	}})
	return s
}

func httpService(name string, server *http.Server, l net.Listener) suture.Service {
	return serviceFunc{name, func(context.Context) error {
		err := server.Serve(l)
		return errors.Mark(err, suture.ErrDoNotRestart)
	}}
}

func newServer(h http.Handler, l *limiter.Listener) *http.Server {
	return l.Server(h, func(net.Conn, http.ConnState) {})
}

// callersMux returns the handler of the callers' listener. Paths under /-/ are
// answered by the entry itself.
func (e *Entry) callersMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e.admitter)
	mux.HandleFunc("GET /-/healthz", e.healthz)
	mux.HandleFunc("GET /-/readyz", e.readyz)
	return rawPath{mux: mux, requests: e.admitter}
}

// rawPath bypasses the multiplexer for callers' requests, because it would clean
// their paths and redirect.
type rawPath struct {
	mux      http.Handler
	requests http.Handler
}

// ServeHTTP sends paths under /-/ to the multiplexer and all others to requests.
func (p rawPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) < 3 || r.URL.Path[:3] != "/-/" {
		p.requests.ServeHTTP(w, r)
		return
	}
	p.mux.ServeHTTP(w, r)
}

func (e *Entry) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	e.editor.Routes(mux)
	e.submitter.Routes(mux)
	e.lister.Routes(mux)
	e.reporter.Routes(mux)
	mux.HandleFunc("GET /healthz", e.healthz)
	mux.HandleFunc("GET /readyz", e.readyz)
	return mux
}

func (e *Entry) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	s := e.Snapshot()
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(map[string]bool{
		"ready": s.Ready(), "configured": s.Configured(), "ledger": s.ZoneRead, "listed": s.Listed, "draining": s.Draining,
	})
}
