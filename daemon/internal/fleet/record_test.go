package fleet

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
	"github.com/gypsumgap/gypsumgap/daemon/internal/front"
)

func outcome(id string, code statement.Code) front.Outcome {
	return front.Outcome{
		ID: id, Code: code, ConfigVersion: 7, Server: "s1", Attempts: 2, Took: 40 * time.Millisecond, Detail: "why",
		Route:  &catalog.Route{Name: "r", LatencyTarget: time.Second},
		Health: backend.Health{Primary: "s1", Term: 3, Suspected: true, VerifiedAt: time.Now().Add(-time.Second)},
	}
}

// Guards against a log line of a failed statement that lacks the data needed to
// explain the failure, and against a log volume that grows with the load.
func TestFailuresAreLoggedWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		r := newRecorder(tally.NoopScope, time.Now, logrus.NewEntry(log))
		r.Statement(outcome("fine", statement.OK))
		if out.Len() > 0 {
			t.Errorf("successful statement was logged: %s", out.String())
		}
		r.Statement(outcome("first", statement.Busy))
		for _, want := range []string{"id=first", "code=busy", "config_version=7", "server=s1", "attempts=2", "took_ms=40",
			"detail=why", "primary=s1", "term=3", "primary_suspected=true", "primary_proved_ms=1000"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("log line lacks %s: %s", want, out.String())
			}
		}
		for i := range 1000 {
			r.Statement(outcome(fmt.Sprint(i), statement.Busy))
		}
		if lines := strings.Count(out.String(), "\n"); lines > logBurst {
			t.Errorf("logged %d lines for 1,001 failures at once, want at most %v", lines, logBurst)
		}
		time.Sleep(time.Second)
		out.Reset()
		r.Statement(outcome("later", statement.Busy))
		if !strings.Contains(out.String(), "lines_skipped=941") {
			t.Errorf("log line lacks lines_skipped=941: %s", out.String())
		}
	})
}

// Guards against statements that block because the reader of the log is
// stalled.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		lines := NewAsyncWriter(writer)
		began := time.Now()
		for i := range 3 * logQueueSize {
			if _, err := fmt.Fprintf(lines, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("writing to a stalled log took %s, want no wait", took)
		}
		synctest.Wait()
		if dropped := lines.Dropped(); dropped < logQueueSize || dropped > 2*logQueueSize {
			t.Errorf("dropped %d lines, want about %d", dropped, 2*logQueueSize)
		}
		lines.Close()
		_ = reader.Close()
		synctest.Wait()
	})
}
