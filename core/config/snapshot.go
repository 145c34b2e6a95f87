package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Snapshot is one version of the whole configuration. It is immutable, and
// snapshots share unchanged services, so the caller must not modify the
// services that it returns.
type Snapshot struct {
	version   uint64
	services  map[string]*Service
	databases map[string]DatabaseRef
	callers   map[string][]*Service
}

// DatabaseRef is a database with the service that it belongs to.
type DatabaseRef struct {
	Service  *Service
	Database *Database
}

// NewSnapshot returns a snapshot of the services and takes ownership of them.
// Version 0 denotes that there is no configuration yet.
func NewSnapshot(version uint64, services []Service) *Snapshot {
	byName := make(map[string]*Service, len(services))
	for i := range services {
		byName[services[i].Name] = &services[i]
	}
	return newIndexedSnapshot(version, byName)
}

// With returns a snapshot with the given version that lacks the removed services
// and contains the changed ones, in place of those of the same name. It takes
// ownership of the changed services.
func (s *Snapshot) With(version uint64, changed []*Service, removed []string) *Snapshot {
	byName := maps.Clone(s.services)
	if byName == nil {
		byName = map[string]*Service{}
	}
	for _, name := range removed {
		delete(byName, name)
	}
	for _, service := range changed {
		byName[service.Name] = service
	}
	return newIndexedSnapshot(version, byName)
}

func newIndexedSnapshot(version uint64, services map[string]*Service) *Snapshot {
	s := &Snapshot{
		version:   version,
		services:  services,
		databases: map[string]DatabaseRef{},
		callers:   map[string][]*Service{},
	}
	for _, name := range s.Names() {
		service := services[name]
		for i := range service.Databases {
			db := &service.Databases[i]
			s.databases[db.Name] = DatabaseRef{Service: service, Database: db}
		}
		for _, c := range service.Callers {
			s.callers[c.User] = append(s.callers[c.User], service)
		}
	}
	return s
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() uint64 { return s.version }

// Names returns the sorted names of the services.
func (s *Snapshot) Names() []string { return slices.Sorted(maps.Keys(s.services)) }

// Len returns the number of services.
func (s *Snapshot) Len() int { return len(s.services) }

// DatabaseCount returns the number of databases of all services.
func (s *Snapshot) DatabaseCount() int { return len(s.databases) }

// Service returns the service with that name, or nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Database returns the database with that name and its service, and whether there
// is one.
func (s *Snapshot) Database(name string) (DatabaseRef, bool) {
	ref, ok := s.databases[name]
	return ref, ok
}

// EachDatabase calls f for every database in unspecified order until f returns
// false.
func (s *Snapshot) EachDatabase(f func(DatabaseRef) bool) {
	for _, ref := range s.databases {
		if !f(ref) {
			return
		}
	}
}

// CallerServices returns the services whose callers include the user, ordered by
// name.
func (s *Snapshot) CallerServices(user string) []*Service { return s.callers[user] }

// Caller returns the account with which the user logs in to the database, and
// whether there is one.
func (s *Snapshot) Caller(database, user string) (Caller, bool) {
	ref, ok := s.databases[database]
	if !ok {
		return Caller{}, false
	}
	i := slices.IndexFunc(ref.Service.Callers, func(c Caller) bool { return c.User == user })
	if i < 0 {
		return Caller{}, false
	}
	return ref.Service.Callers[i], true
}

// Class returns the class with that name, and whether there is one.
func (s *Service) Class(name string) (Class, bool) {
	i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return s.Classes[i], true
}

// sort orders callers, databases, classes and slots by name. Their order has no
// meaning, and a fixed one gives equal services equal encodings.
func (s *Service) sort() {
	slices.SortFunc(s.Callers, func(a, b Caller) int { return cmp.Compare(a.User, b.User) })
	slices.SortFunc(s.Databases, func(a, b Database) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	for _, db := range s.Databases {
		slices.SortFunc(db.Slots, func(a, b group.Slot) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// EncodeService returns the canonical JSON of a service: equal services have
// equal encodings.
func EncodeService(s *Service) ([]byte, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode service %s: %w", s.Name, err)
	}
	return b, nil
}

// DecodeService decodes the JSON that EncodeService returns.
func DecodeService(b []byte) (*Service, error) {
	var s Service
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("decode service: %w", err)
	}
	return &s, nil
}
