// Package process implements what all processes have in common: the command
// line, loading of settings, listeners and the operations endpoints.
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/intake"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/metric"
	"laburnumdock/internal/settings"
)

// shutdownTimeout bounds how long a listener waits for its connections to finish
// after the process has completed its own graceful shutdown.
const shutdownTimeout = 10 * time.Second

// configVariable is the name of the environment variable with the path of the
// settings file, for a start without arguments.
const configVariable = "LABURNUMDOCK_BOOT"

// Declare declares the settings of a process and returns the function that runs
// the process with them.
type Declare func(*settings.Set) func(context.Context) error

// Subcommand is a command of a process besides running it.
type Subcommand struct {
	Name, Usage string
	Declare     Declare
}

// Main runs a process with the common command line and exits with status 1 on an
// error.
func Main(name, usage string, declare Declare, subcommands ...Subcommand) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := Command(name, usage, declare, subcommands...).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		stop()
		os.Exit(1)
	}
}

// Command returns the command-line command of a process.
func Command(name, usage string, declare Declare, subcommands ...Subcommand) *cli.Command {
	root := &cli.Command{
		Name: name, Usage: usage, Version: Version(),
		// The value of a setting may itself be a comma-separated list.
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "INI file with the settings"},
			&cli.StringSliceFlag{Name: "set", Usage: "override one setting, as section.key=value"},
			&cli.BoolFlag{Name: "check-config", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "print-keys", Usage: "list all settings with defaults, ranges and units, and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return loadAndRun(ctx, c, declare) },
	}
	for _, sub := range subcommands {
		root.Commands = append(root.Commands, &cli.Command{
			Name: sub.Name, Usage: sub.Usage,
			Action: func(ctx context.Context, c *cli.Command) error { return loadAndRun(ctx, c, sub.Declare) },
		})
	}
	return root
}

// loadAndRun loads the settings that declare declares and runs the function that
// it returns.
func loadAndRun(ctx context.Context, c *cli.Command, declare Declare) error {
	var set settings.Set
	run := declare(&set)
	if c.Bool("print-keys") {
		return printKeys(c, &set)
	}
	path := c.String("config")
	if path == "" {
		path = os.Getenv(configVariable)
	}
	source := settings.Source{Path: path, LookupEnv: os.LookupEnv, Overrides: c.StringSlice("set")}
	problems := set.Load(source)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return eris.Errorf("%d settings are wrong", len(problems))
	}
	if c.Bool("check-config") {
		_, err := fmt.Fprintln(c.Root().Writer, "settings are correct")
		return err
	}
	return run(context.WithValue(ctx, sourceKey{}, source))
}

func printKeys(c *cli.Command, set *settings.Set) error {
	for _, k := range set.Keys() {
		def := k.Default
		if k.Required {
			def = "required"
		}
		_, err := fmt.Fprintf(c.Root().Writer, "[%s] %s = %s\n    %s; allowed: %s; variable: %s\n",
			k.Section, k.Name, def, k.Help, k.Allowed, settings.EnvName(k.Section, k.Name))
		if err != nil {
			return err
		}
	}
	return nil
}

// Version returns the version of the binary.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "development"
	}
	return info.Main.Version
}

// Logger returns the logger of a process, which writes to standard output. It is
// buffered and must be flushed before the process exits.
func Logger(p settings.Process, role string) (*logevent.Logger, error) {
	return logevent.NewBuffered(os.Stdout, *p.LogLevel, role, *p.Name)
}

// RegisterOpsHandlers adds the operations endpoints to mux: health, readiness,
// version and metrics. ready returns the reason for which the process is not
// ready, or nil.
func RegisterOpsHandlers(mux *http.ServeMux, reg metrics.Registry, ready func() error) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		answer.WriteJSON(w, http.StatusOK, map[string]bool{"healthy": true})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			answer.WriteError(w, err)
			return
		}
		answer.WriteJSON(w, http.StatusOK, map[string]bool{"ready": true})
	})
	mux.HandleFunc("GET /version", func(w http.ResponseWriter, _ *http.Request) {
		answer.WriteJSON(w, http.StatusOK, map[string]string{"version": Version()})
	})
	mux.Handle("GET /metrics", metric.Handler(reg))
}

// Server is a listener with its HTTP server.
type Server struct {
	listener net.Listener
	server   *http.Server
	guard    *intake.Guard
}

// Listen opens a listener within the limits of the guard, with TLS if a certificate is
// configured.
func Listen(l settings.Listener, guard *intake.Guard, port intake.Port) (*Server, error) {
	tlsConfig, err := serverTLS(l)
	if err != nil {
		return nil, err
	}
	listener, server, err := guard.Listen(context.Background(), *l.Address, port, tlsConfig != nil)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", *l.Address)
	}
	server.TLSConfig = tlsConfig
	return &Server{listener: listener, server: server, guard: guard}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends and then lets requests in flight finish, for at most
// shutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	defer s.guard.Use()()
	done := make(chan error, 1)
	go func() { done <- s.serve() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(stop); err != nil {
		// Only streams such as watches are still open, and their clients resume.
		return s.server.Close()
	}
	return nil
}

func (s *Server) serve() error {
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
