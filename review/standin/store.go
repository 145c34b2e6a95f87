package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta and object are the JSON form of a stored object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
}

// store is a stand-in of the platform's metadata store without faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put creates or replaces an object on behalf of the operator or a database.
// An object that is not changed keeps its revision.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// value returns the spec of an object, or nil if there is none.
func (s *store) value(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if exists {
		o.Meta.Created = old.Meta.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.notify(storeEvent{Object: o, kind: kind})
	return o
}

func (s *store) delete(kind, name string) bool {
	o, exists := s.objects[kind][name]
	if !exists {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.notify(storeEvent{Deleted: true, Object: o, kind: kind})
	return true
}

func (s *store) notify(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call of the store's protocol.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items, revision := []object{}, s.revision
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []storeEvent{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &body) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	if name == "" {
		name = body.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		exists && body.Meta.Revision != 0 && body.Meta.Revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost, r.Method == http.MethodPut && exists:
		reply(w, http.StatusOK, s.set(kind, name, body.Spec))
	case r.Method == http.MethodDelete && exists:
		s.delete(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}
