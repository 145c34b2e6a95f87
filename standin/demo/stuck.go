package demo

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// stallThreshold is the time without an acknowledged write after which goroutine
// dumps are written. It is longer than a failover takes.
const stallThreshold = 1500 * time.Millisecond

// dumpWhenStalled writes goroutine dumps of all hosts when the writes of a database
// stall, at most once per database.
func dumpWhenStalled(ctx context.Context, l *layout, runs []loadRun, dir string) {
	dumped := map[string]bool{}
	for sleep(ctx, stallThreshold/4) == nil {
		for _, r := range runs {
			name := r.deployment.database
			if dumped[name] || r.record.SinceLastAck(time.Now()) < stallThreshold {
				continue
			}
			dumped[name] = true
			for _, h := range l.hosts {
				writeGoroutines(h, filepath.Join(dir, name+"-"+h.name+".txt"))
			}
		}
	}
}

func writeGoroutines(h hostLayout, file string) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.admin + "/debug/pprof/goroutine?debug=2")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	out, err := os.Create(file)
	if err != nil {
		return
	}
	defer out.Close()
	_, _ = io.Copy(out, resp.Body)
}
