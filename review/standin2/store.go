package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time until the platform's store answers: 4 ms, and twice the 20 ms
// between regions, since the store is in another region than the hosts.
const storeDelay = 44 * time.Millisecond

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

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

func mustEncode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

// put stores an object. The caller holds s.mu.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	if !exists {
		o.Meta = meta{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Meta.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.notify(event{kind, o, false})
	return o
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores an object of the operator or of a database.
func (s *store) write(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, mustEncode(spec))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	var code int
	var body any
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		code, body = s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		code, body = s.list(kind)
	default:
		code, body = s.single(r, kind, name)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(mustEncode(body))
}

func (s *store) list(kind string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// single serves a call on one object.
func (s *store) single(r *http.Request, kind, name string) (int, any) {
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	o, exists := s.objects[kind][name]
	switch r.Method {
	case http.MethodGet:
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	case http.MethodPost:
		if exists {
			return http.StatusConflict, o
		}
		return http.StatusCreated, s.put(kind, name, sent.Spec)
	case http.MethodPut:
		switch {
		case !exists:
			return http.StatusNotFound, nil
		case sent.Meta.Revision != 0 && sent.Meta.Revision != o.Meta.Revision:
			return http.StatusConflict, o
		case string(sent.Spec) == string(o.Spec):
			return http.StatusOK, o
		}
		return http.StatusOK, s.put(kind, name, sent.Spec)
	case http.MethodDelete:
		if !exists {
			return http.StatusNotFound, nil
		}
		s.revision++
		delete(s.objects[kind], name)
		o.Meta.Revision = s.revision
		s.notify(event{kind, o, true})
		return http.StatusOK, o
	default:
		return http.StatusMethodNotAllowed, nil
	}
}
