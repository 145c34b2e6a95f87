package config_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/gypsumgap/gypsumgap/core/config"
)

// BenchmarkLoad measures loading a folder with 19,000 databases of five slots
// each. A service has three databases, and a file a hundred services.
func BenchmarkLoad(b *testing.B) {
	const services, perFile = 6334, 100
	folder := fstest.MapFS{}
	bytes := 0
	for first := 0; first < services; first += perFile {
		var file strings.Builder
		file.WriteString("services:\n")
		for i := first; i < min(first+perFile, services); i++ {
			writeService(&file, i)
		}
		bytes += file.Len()
		folder[fmt.Sprintf("%05d.yaml", first)] = &fstest.MapFile{Data: []byte(file.String())}
	}
	b.SetBytes(int64(bytes))
	b.ReportAllocs()
	for b.Loop() {
		loaded, findings, err := config.Load(folder)
		if err != nil || findings.Err() != nil || len(loaded) != services {
			b.Fatalf("loaded %d services, findings %v, error %v", len(loaded), findings.Err(), err)
		}
	}
}

func writeService(w *strings.Builder, i int) {
	const verifier = "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$h7BOWJYfmpnYU9QEagtbeT58Pku9IfWsqPsXwgzbHYs=:s+rNM0M7MbUlI1EDLJs+ei56p3ONXezfDdbGJoCFPAY="
	fmt.Fprintf(w, "  service-%d:\n    callers: [{user: crew, verifier: \"%s\"}]\n    databases:\n", i, verifier)
	for d := range 3 {
		fmt.Fprintf(w, "      - name: database-%d-%d\n        connection_limit: 45\n        slots:\n", i, d)
		for s := range 5 {
			fmt.Fprintf(w, "          - {id: database-%d-%d/%d, address: \"10.%d.%d.%d:5432\", zone: zone-%d, region: region}\n",
				i, d, s, i>>8, i&255, d*5+s, s)
		}
	}
}
