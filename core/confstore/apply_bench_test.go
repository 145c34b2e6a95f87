package confstore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

// BenchmarkApplyCalls reports the store calls and the time of an apply that
// changes one service, for configurations of several sizes.
func BenchmarkApplyCalls(b *testing.B) {
	for _, databases := range []int{4750, 9500, 19000} {
		b.Run(fmt.Sprintf("databases=%d", databases), func(b *testing.B) {
			ctx := context.Background()
			store := platformtest.New(platformtest.Options{})
			var services []config.Service
			for i := range databases / 3 {
				s := config.Service{Name: fmt.Sprintf("service-%d", i)}
				for d := range 3 {
					name := fmt.Sprintf("%s-%d", s.Name, d)
					db := config.Database{Name: name, ConnectionLimit: 45}
					for j := range 5 {
						db.Slots = append(db.Slots, group.Slot{ID: group.SlotID(fmt.Sprintf("%s/%d", name, j)), Address: "10.0.0.1:5432"})
					}
					s.Databases = append(s.Databases, db)
				}
				services = append(services, s)
			}
			snapshot := config.NewSnapshot(0, services)
			state, err := confstore.Load(ctx, store, nil)
			if err == nil {
				_, err = confstore.Apply(ctx, store, state, snapshot)
			}
			if err != nil {
				b.Fatal(err)
			}
			held := snapshot.With(1, nil, nil)
			before := store.Counts()
			b.ResetTimer()
			for i := range b.N {
				state, err := confstore.Load(ctx, store, held)
				if err != nil {
					b.Fatal(err)
				}
				service := *held.Service("service-77")
				service.CommitTimeout += config.Duration(i + 1)
				next := held.With(0, []*config.Service{&service}, nil)
				result, err := confstore.Apply(ctx, store, state, next)
				if err != nil {
					b.Fatal(err)
				}
				held = next.With(result.Version, nil, nil)
			}
			after := store.Counts()
			b.ReportMetric(float64(after.Reads()-before.Reads())/float64(b.N), "reads/change")
			b.ReportMetric(float64(after.Writes()-before.Writes())/float64(b.N), "writes/change")
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/change")
		})
	}
}
