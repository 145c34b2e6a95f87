package dbgroup

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/standin/latency"
)

// adminHeaderTimeout is how long the admin endpoint waits for the header of a request.
const adminHeaderTimeout = 10 * time.Second

// Settings configures the groups of a process. It is read from a YAML file.
type Settings struct {
	// AdminListen is the host:port of the admin endpoint; empty for none.
	AdminListen string           `yaml:"admin_listen"`
	Latency     latency.Settings `yaml:"latency"`
	Groups      []GroupSettings  `yaml:"groups"`
}

// GroupSettings configures one group. The fields, and their defaults, are those of Options.
type GroupSettings struct {
	Name            string           `yaml:"name"`
	Slots           []SlotOptions    `yaml:"slots"`
	Size            int              `yaml:"size"`
	Schema          []string         `yaml:"schema"`
	ConnectionLimit int              `yaml:"connection_limit"`
	ConnectTime     latency.Duration `yaml:"connect_time"`
	ApplyLag        latency.Duration `yaml:"apply_lag"`
	WriterIdleLimit latency.Duration `yaml:"writer_idle_limit"`
}

// ReadSettings reads a settings file. It fails if the file cannot be read or
// contains unknown keys.
func ReadSettings(path string) (Settings, error) {
	var settings Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, err
	}
	if err := yaml.UnmarshalWithOptions(data, &settings, yaml.DisallowUnknownField()); err != nil {
		return settings, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Server runs the groups of a process and their admin endpoint.
type Server struct {
	Groups []*Group
	admin  *http.Server
	// AdminAddress is the host:port of the admin endpoint; empty for none.
	AdminAddress string
}

// Serve starts all groups and the admin endpoint. If one of them cannot start, it
// stops those already started and fails.
func Serve(settings Settings, logger logrus.FieldLogger) (*Server, error) {
	table, err := latency.NewTable(settings.Latency)
	if err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	s := &Server{}
	for _, g := range settings.Groups {
		group, err := Start(g.options(table, logger))
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("group %s: %w", g.Name, err)
		}
		s.Groups = append(s.Groups, group)
	}
	if settings.AdminListen == "" {
		return s, nil
	}
	if err := s.serveAdmin(settings.AdminListen, logger); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (g GroupSettings) options(table *latency.Table, logger logrus.FieldLogger) Options {
	return Options{
		Name: g.Name, Slots: g.Slots, Size: g.Size, Schema: g.Schema, Latency: table,
		ConnectionLimit: g.ConnectionLimit, ConnectTime: g.ConnectTime.Std(),
		ApplyLag: g.ApplyLag.Std(), WriterIdleLimit: g.WriterIdleLimit.Std(),
		Logger: logger,
	}
}

func (s *Server) serveAdmin(address string, logger logrus.FieldLogger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.AdminAddress = listener.Addr().String()
	s.admin = &http.Server{Handler: Admin(s.Groups...), ReadHeaderTimeout: adminHeaderTimeout}
	go func() {
		if err := s.admin.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.WithError(err).Error("admin_failed")
		}
	}()
	return nil
}

// Close stops the admin endpoint and all groups.
func (s *Server) Close() {
	if s.admin != nil {
		_ = s.admin.Close()
	}
	for _, group := range s.Groups {
		group.Close()
	}
}
