// Package fleet simulates the users' platform for tests of whole processes: its
// object store, its promotion API, and backend servers that speak its line
// protocol. A loopback proxy in front of each delays, cuts, resets and silences
// connections.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// object is a stored object in the platform's JSON format.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// encode returns the object as JSON. The specification is not checked, since that of
// another writer may be anything.
func (o object) encode() []byte {
	return fmt.Appendf(nil, `{"meta":%s,"spec":%s,"status":%s}`, mustEncode(o.Meta), orNull(o.Spec), orNull(o.Status))
}

func orNull(raw json.RawMessage) []byte {
	if len(raw) == 0 {
		return []byte("null")
	}
	return raw
}

// mustEncode returns the JSON of a value that has one.
func mustEncode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	deleted bool
	object  object
	kind    string
}

// Store simulates the platform's object store, an HTTP API. It is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	rng      *rand.Rand
	revision uint64
	objects  map[string]map[string]object
	events   []event
	// era counts how often the store went back to an older copy.
	era uint64
	// backup is the copy to which the store goes back.
	backup backup
	// oldest is the oldest revision from which a watch can start; the events before
	// it were compacted.
	oldest  uint64
	changed chan struct{}

	down      bool
	slow      time.Duration
	loseShare float64
	// executionDelay is the delay before a write whose answer is lost is
	// executed.
	executionDelay time.Duration
}

// configurationKind is the kind of the operator's objects.
const configurationKind = "config"

// backup is a copy of a store.
type backup struct {
	revision, oldest uint64
	objects          map[string]map[string]object
	events           []event
}

// NewStore returns an empty store. The seed determines which answers are lost.
func NewStore(seed uint64) *Store {
	return &Store{
		rng: rand.New(rand.NewPCG(seed, 7)), revision: 1, era: 1,
		objects: map[string]map[string]object{}, changed: make(chan struct{}),
	}
}

// Backup makes a copy of the store for Restore.
func (s *Store) Backup() {
	s.withLock(func() {
		copied := map[string]map[string]object{}
		for kind, stored := range s.objects {
			copied[kind] = maps.Clone(stored)
		}
		s.backup = backup{s.revision, s.oldest, copied, slices.Clone(s.events)}
	})
}

// Restore makes the store go back to the last copy, in the next era, in which the
// operator writes the latest configuration again. It does nothing if there is no copy
// or the store went back to it already.
func (s *Store) Restore() {
	s.withLock(func() {
		b := s.backup
		if b.objects == nil {
			return
		}
		s.backup = backup{}
		latest := s.objects[configurationKind]
		s.revision, s.oldest, s.objects, s.events = b.revision, b.oldest, b.objects, b.events
		s.era++
		for name, o := range latest {
			s.set(configurationKind, name, o.Spec)
		}
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

// SetDown makes the store answer every call with status 503 while down is true.
func (s *Store) SetDown(down bool) { s.withLock(func() { s.down = down }) }

// SetSlow delays the processing of every call by d.
func (s *Store) SetSlow(d time.Duration) { s.withLock(func() { s.slow = d }) }

// LoseAnswers drops the answers to a share of the writes, from 0 to 1. These writes
// are executed at once or, if delay is positive, after that delay.
func (s *Store) LoseAnswers(share float64, delay time.Duration) {
	s.withLock(func() { s.loseShare, s.executionDelay = share, delay })
}

// Compact drops the event history, so that a watch from an older revision is
// answered with status 410.
func (s *Store) Compact() {
	s.withLock(func() {
		s.oldest = s.revision
		s.events = nil
	})
}

func (s *Store) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Write creates or replaces an object, like an operator or a backend server does. It
// does nothing if the object is unchanged.
func (s *Store) Write(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.withLock(func() {
		if old, ok := s.objects[kind][name]; !ok || string(old.Spec) != string(data) {
			s.set(kind, name, data)
		}
	})
	return nil
}

// WriteRaw creates or replaces an object with a specification that need not be valid,
// like another writer does.
func (s *Store) WriteRaw(kind, name string, spec []byte) {
	s.withLock(func() { s.set(kind, name, spec) })
}

// Remove deletes an object, like the platform does.
func (s *Store) Remove(kind, name string) { s.withLock(func() { s.remove(kind, name) }) }

// set creates or replaces an object and wakes waiting watch calls. s.mu must be held.
func (s *Store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if old, ok := s.objects[kind][name]; ok {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.appendEvent(event{object: o, kind: kind})
	return o
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.appendEvent(event{deleted: true, object: o, kind: kind})
	return true
}

func (s *Store) appendEvent(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, slow, era := s.down, s.slow, s.era
	s.mu.Unlock()
	time.Sleep(slow)
	if down {
		reply(w, era, http.StatusServiceUnavailable, nil)
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

// reply answers a call in an era of the store. A nil body stands for none.
func reply(w http.ResponseWriter, era uint64, code int, body []byte) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if body != nil {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(code)
	_, _ = w.Write(body)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	era := s.era
	s.mu.Unlock()
	if !ok {
		reply(w, era, http.StatusNotFound, nil)
		return
	}
	reply(w, era, http.StatusOK, o.encode())
}

// pageItems is the largest number of objects in an answer to a list call.
const pageItems = 5

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var items []object
	hasMore, revision, era := false, s.revision, s.era
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	if len(items) > pageItems {
		items, hasMore = items[:pageItems], true
	}
	encoded := make([][]byte, len(items))
	for i, o := range items {
		encoded[i] = o.encode()
	}
	reply(w, era, http.StatusOK, fmt.Appendf(nil, `{"items":[%s],"hasMore":%t,"storeRevision":%d}`, bytes.Join(encoded, []byte(",")), hasMore, revision))
}

type watchAnswer struct {
	events   []event
	revision uint64
}

func (a watchAnswer) encode() []byte {
	encoded := make([][]byte, len(a.events))
	for i, e := range a.events {
		encoded[i] = fmt.Appendf(nil, `{"deleted":%t,"object":%s}`, e.deleted, e.object.encode())
	}
	return fmt.Appendf(nil, `{"events":[%s],"storeRevision":%d}`, bytes.Join(encoded, []byte(",")), a.revision)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		answer, gone, changed, era := s.eventsSince(kind, since), since < s.oldest || since > s.revision, s.changed, s.era
		s.mu.Unlock()
		if gone {
			reply(w, era, http.StatusGone, nil)
			return
		}
		if len(answer.events) > 0 {
			reply(w, era, http.StatusOK, answer.encode())
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, era, http.StatusOK, answer.encode())
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(kind string, revision uint64) watchAnswer {
	answer := watchAnswer{revision: s.revision}
	for _, e := range s.events {
		if e.kind == kind && e.object.Meta.Revision > revision {
			answer.events = append(answer.events, e)
		}
	}
	return answer
}

// change executes a write and answers it. If the answer is to be lost, it aborts the
// connection instead and may postpone the write.
func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = body.Meta.Name
	}
	s.mu.Lock()
	lose, delay := s.rng.Float64() < s.loseShare, s.executionDelay
	s.mu.Unlock()
	if lose && delay > 0 {
		time.AfterFunc(delay, func() { s.execute(r.Method, kind, name, body) })
		panic(http.ErrAbortHandler)
	}
	code, o, era := s.execute(r.Method, kind, name, body)
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, era, code, o.encode())
}

func (s *Store) execute(method, kind, name string, body object) (code int, answer object, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case method == http.MethodDelete && s.remove(kind, name):
		return http.StatusOK, old, s.era
	case method == http.MethodPost && exists, exists && body.Meta.Revision != 0 && body.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old, s.era
	case method == http.MethodPost, method == http.MethodPut && exists:
		return http.StatusOK, s.set(kind, name, body.Spec), s.era
	default:
		return http.StatusNotFound, object{}, s.era
	}
}

// Promotions simulates the platform's promotion API for the services.
type Promotions struct {
	services []*statementtest.Service

	mu sync.Mutex
	// delay, if positive, is when the next order is carried out, without an answer.
	delay time.Duration
}

// NewPromotions returns the promotion API of the services.
func NewPromotions(services []*statementtest.Service) *Promotions {
	return &Promotions{services: services}
}

// delayNext makes the next order be carried out after a delay, without an answer. 0 ends
// that.
func (p *Promotions) delayNext(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// ServeHTTP answers a call.
func (p *Promotions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	delay := p.delay
	p.delay = 0
	p.mu.Unlock()
	for _, s := range p.services {
		if s.Name != body.Service {
			continue
		}
		order := objects.Promotion{Service: body.Service, Server: body.ID, Holder: r.Header.Get("Duty-Holder"), Token: token}
		if delay > 0 {
			s.PromoteLate(delay, order)
			<-r.Context().Done()
			return
		}
		if s.Promote(r.Context(), order) != nil {
			w.WriteHeader(http.StatusConflict)
		}
		return
	}
	w.WriteHeader(http.StatusNotFound)
}
