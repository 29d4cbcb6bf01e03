package deduplicator_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lagoonstile/deduplicator"
)

// BenchmarkSlopeKeys measures the time and the heap memory per key, without stored
// answers, for tables of different sizes.
func BenchmarkSlopeKeys(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			now := time.Unix(0, 0)
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := deduplicator.New[string](now, "proxy-1", "9f2c01ab", deduplicator.Limits{MaxKeys: size, MaxAnswerBytes: 1 << 20, EpochDuration: time.Hour})
				for i := range size {
					key := fmt.Sprintf("proxy-1.9f2c01ab.1.%036d", i)
					table.Begin(now, key, 1, uint64(i))
					table.FinishWithoutAnswer(key)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/key")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/key")
		})
	}
}
