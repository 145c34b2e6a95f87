package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	coreplatform "github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/httpstore"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	"github.com/gypsumgap/gypsumgap/standin/platform"
)

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	n *int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	*w.n += int64(n)
	return n, err
}

// BenchmarkHostList measures the size of the response to one read of the platform's
// host list.
func BenchmarkHostList(b *testing.B) {
	for _, hosts := range []int{250, 1000, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var list []coreplatform.Host
			for i := range hosts {
				list = append(list, coreplatform.Host{
					Name: fmt.Sprintf("entry-%05d", i), Address: fmt.Sprintf("10.%d.%d.1:8432", i>>8, i&255),
					Zone: fmt.Sprintf("gelderland-%d", i%12), Region: fmt.Sprintf("randstad-%d", i%4), State: coreplatform.HostLive,
				})
			}
			var sent int64
			handler := platform.Handler(platformtest.New(platformtest.Options{Hosts: list}))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				handler.ServeHTTP(countingWriter{w, &sent}, r)
			}))
			defer server.Close()
			client, err := httpstore.New(httpstore.Options{URL: server.URL})
			if err != nil {
				b.Fatal(err)
			}
			defer client.Close()
			for range b.N {
				if _, err := client.Hosts(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "body-B/read")
		})
	}
}
