package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumgap/gypsumgap/core/finding"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// FuzzSettings guards against a settings file that ends the process instead of resulting
// in findings.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte("protocol: statements\nhost: h1\nzones: {a: r}\nstop_timeout: -1s\n"))
	f.Add([]byte("zones: " + strings.Repeat("[", 1000)))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = IsStatements(data)
		s, err := ParseSettings("settings.yaml", data)
		var invalid *finding.InputError
		switch {
		case err != nil && !errors.As(err, &invalid):
			t.Errorf("got error %v, want findings", err)
		case err == nil && (s.Host == "" || s.StopTimeout <= 0 || len(s.Zones) == 0):
			t.Errorf("accepted incomplete settings %+v", s)
		}
	})
}

// FuzzPeerMessages guards against a message of another host that ends the process, or
// replaces a server or the configuration by an incomplete one.
func FuzzPeerMessages(f *testing.F) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, _ = w.Write([]byte(`{"ID":"s1","Version":1,"Routes":{"db":{}}}`))
	_ = w.Close()
	response, _ := proto.Marshal(&peerapi.FollowResponse{Synced: true, Changes: []*peerapi.KindChanges{
		{Kind: objects.Servers.String(), Full: true, Entries: []*peerapi.StoredEntry{{Name: "s1", Value: compressed.Bytes()}}},
	}})
	f.Add(response)
	execute, _ := proto.Marshal(&peerapi.ExecuteRequest{Statements: []*peerapi.SentStatement{{Kind: 4, Text: "READ a"}}})
	f.Add(execute)
	f.Fuzz(func(t *testing.T, data []byte) {
		var follow peerapi.FollowResponse
		if proto.Unmarshal(data, &follow) == nil {
			for _, changes := range follow.GetChanges() {
				for _, e := range changes.GetEntries() {
					checkEntry(t, e)
				}
			}
		}
		checkEntry(t, &peerapi.StoredEntry{Name: "s1", Value: data})
		var request peerapi.ExecuteRequest
		if proto.Unmarshal(data, &request) == nil {
			for _, m := range request.GetStatements() {
				if st, err := statementFromMessage(m); err == nil {
					_ = statementToMessage(st)
				}
			}
		}
		var answers peerapi.ExecuteResponse
		if proto.Unmarshal(data, &answers) == nil {
			for _, m := range answers.GetAnswers() {
				if a, err := answerFromMessage(m); err == nil {
					_ = a.Code.String()
				}
			}
		}
	})
}

func checkEntry(t *testing.T, e *peerapi.StoredEntry) {
	t.Helper()
	for _, kind := range followedKinds {
		o := decodeEntry(kind, e)
		if o.Err != nil || o.Deleted {
			continue
		}
		if kind == objects.Servers && (o.Server == nil || o.Server.ID != e.GetName()) || kind == objects.Configurations && (o.Configuration == nil || o.Configuration.Version == 0) {
			t.Errorf("%s entry %q was accepted as %+v", kind, e.GetName(), o)
		}
	}
}

// FuzzStoredValues guards against an object of another writer, among those that hosts
// write, that ends the process, and against one that is no JSON and has an effect.
func FuzzStoredValues(f *testing.F) {
	f.Add([]byte(`{"holder":"h1","token":1,"renewal":2}`))
	f.Add([]byte(`{"missing":{"service":"s1"}}`))
	f.Add([]byte(`{"term":3,"era":1}`))
	f.Add([]byte(`[1e999,{"a":null}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := newController(options{host: "h", incarnation: "1", now: time.Now, scope: tally.NoopScope, log: logrus.NewEntry(log), groups: backend.Options{Now: time.Now}})
		read := func(name string) objects.Object {
			return objects.Object{Name: name, Revision: objects.NewRevision(1, 7), Value: data}
		}
		c.observeLease(read(promotionLease))
		revocations := c.decodeRevocations(objects.Snapshot{Objects: []objects.Object{read("service"), read(revocationEraName)}, Revision: objects.NewRevision(1, 7)})
		c.applyReports(storeChange{kind: objects.Reports, full: true, objects: []objects.Object{read("h2")}})
		c.registrations.record(read("h2"), time.Now())
		if json.Valid(data) {
			return
		}
		if c.lease.Holder() != "" || len(revocations.revoked) > 0 || len(c.reports) > 0 {
			t.Errorf("value %q is no JSON and has an effect: holder %q, revocations %v, reports %v", data, c.lease.Holder(), revocations.revoked, c.reports)
		}
	})
}
