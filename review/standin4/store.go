package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedObject is an object of the platform's metadata store.
type storedObject struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	kind    string
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. Its responses are linearizable,
// and it keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storeEvent
	changed  chan struct{}
	down     bool
	downs    chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{}), downs: make(chan struct{})}
}

// setDown makes the store answer every call with 503; waiting watches are cut off.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		close(s.downs)
		s.downs = make(chan struct{})
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// write creates or replaces an object, as the operator and the databases do.
func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(data) {
		return
	}
	s.set(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) set(kind, name string, spec json.RawMessage) storedObject {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	o := storedObject{Meta: objectMeta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if old, ok := s.objects[kind][name]; ok {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.append(storeEvent{kind: kind, Object: o})
	return o
}

func (s *store) delete(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.append(storeEvent{kind: kind, Object: o, Deleted: true})
	return true
}

func (s *store) append(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []storedObject{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	ended := false
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed, downs := s.revision, s.changed, s.downs
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-downs:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body storedObject
	if r.Method != http.MethodDelete {
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &body) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	expected := body.Meta.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	if name == "" {
		name = body.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete && exists:
		s.delete(kind, name)
		reply(w, http.StatusOK, old)
	case r.Method == http.MethodPost, r.Method == http.MethodPut && exists:
		if exists && string(old.Spec) == string(body.Spec) {
			reply(w, http.StatusOK, old)
			return
		}
		reply(w, http.StatusOK, s.set(kind, name, body.Spec))
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

// cloud is a stand-in for the platform's promotion API, which checks fences.
type cloud struct {
	service *service
	record  *record

	mu    sync.Mutex
	token uint64
	// calls counts the calls since the start of the disruption; 0 before it.
	calls int
	// disrupted is true while the platform is down. The first call then gets no answer
	// and is executed after lateBy; the others get 503.
	disrupted bool
	lateBy    time.Duration
	// silent is true while the platform is cut off: calls get no answer and are not
	// executed.
	silent bool
}

// setSilent cuts the platform off, or ends that.
func (c *cloud) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
	c.record.add("cloud", "cut off: %v", silent)
}

// disrupt starts or ends the disruption.
func (c *cloud) disrupt(on bool, lateBy time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disrupted, c.lateBy, c.calls = on, lateBy, 0
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || r.URL.Path != "/promotion" || body.Service != c.service.name {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	what := fmt.Sprintf("promotion of %s by %s with token %d", body.ID, r.Header.Get("Duty-Holder"), token)
	c.mu.Lock()
	c.calls++
	disrupted, silent, first, late := c.disrupted, c.silent, c.calls == 1, c.lateBy
	c.mu.Unlock()
	switch {
	case silent:
		c.record.add("cloud", "%s: no answer, not executed", what)
		<-r.Context().Done()
	case disrupted && first:
		c.record.add("cloud", "%s: no answer, carried out %s later", what, late)
		time.AfterFunc(late, func() { c.record.add("cloud", "%s: carried out late, status %d", what, c.execute(body.ID, token)) })
		<-r.Context().Done()
	case disrupted:
		c.record.add("cloud", "%s: 503, nothing done", what)
		reply(w, http.StatusServiceUnavailable, nil)
	default:
		code := c.execute(body.ID, token)
		c.record.add("cloud", "%s: status %d", what, code)
		reply(w, code, nil)
	}
}

// execute checks the fence at the time of execution.
func (c *cloud) execute(id string, token uint64) int {
	c.mu.Lock()
	refused := token < c.token
	c.token = max(c.token, token)
	c.mu.Unlock()
	if refused || !c.service.promote(id) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// serveHTTP serves a handler at a free port of a loopback address.
func serveHTTP(ip string, h http.Handler) string {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}
