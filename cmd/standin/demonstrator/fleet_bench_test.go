package demonstrator

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/loader"
)

// BenchmarkInForce measures the time from a publication until it is in force on 16
// instances.
func BenchmarkInForce(b *testing.B) {
	for _, faults := range []emulator.LogFaults{{}, {Delay: 500 * time.Millisecond}} {
		b.Run(fmt.Sprintf("log-delay-%s", faults.Delay), func(b *testing.B) {
			const publications = 40
			fleet, err := Start(Consorzio(b.TempDir(), 16))
			if err != nil {
				b.Fatal(err)
			}
			defer fleet.Stop()
			fleet.Platform.Log.SetFaults(faults)
			var times []time.Duration
			for i := range publications {
				inventory := fleet.Inventory()
				if i%2 > 0 {
					inventory = fleet.Inventory("stock-8")
				}
				start := time.Now()
				if _, err := fleet.Publish(context.Background(), inventory); err != nil {
					b.Fatal(err)
				}
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[publications/2].Milliseconds()), "median-ms")
			b.ReportMetric(float64(times[publications-1].Milliseconds()), "worst-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkUnknownOrders counts orders with an unknown outcome per 1,000 orders,
// when instances crash and when they leave gracefully.
func BenchmarkUnknownOrders(b *testing.B) {
	ends := []struct {
		name string
		end  func(*Fleet) error
	}{
		{"crash", func(f *Fleet) error {
			f.Crash(f.Instances()[0])
			return nil
		}},
		{"graceful", func(f *Fleet) error { return f.Drain(context.Background(), f.Instances()[0]) }},
	}
	for _, end := range ends {
		b.Run(end.name, func(b *testing.B) {
			fleet, err := Start(Consorzio(b.TempDir(), 6))
			if err != nil {
				b.Fatal(err)
			}
			defer fleet.Stop()
			if _, err := fleet.Publish(context.Background(), fleet.Inventory()); err != nil {
				b.Fatal(err)
			}
			traffic := NewTraffic(fleet.CallerAddresses(), fleet.Ledger.Runs)
			sending, stop := context.WithCancel(context.Background())
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				traffic.Send(sending, []Workload{{Rank: lagoonstile.RankOrders, Service: "orders", PerSecond: 400, Deadline: 5 * time.Second}})
			}()
			for range 3 {
				time.Sleep(2 * time.Second)
				if err := end.end(fleet); err != nil {
					b.Error(err)
				}
				if _, err := fleet.AddInstance(); err != nil {
					b.Fatal(err)
				}
			}
			time.Sleep(2 * time.Second)
			stop()
			<-sent
			tally := traffic.Tally(lagoonstile.RankOrders)
			b.ReportMetric(float64(tally.Unknown)*1000/float64(tally.Requests), "unknown/1000")
			b.ReportMetric(float64(tally.NotRun+tally.Failed+tally.WrongAnswers), "other")
			b.ReportMetric(float64(fleet.Ledger.DoubledCount()), "doubled")
			b.ReportMetric(float64(tally.Requests), "orders")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkControl measures the bytes that one instance sends to its peers and the
// processor time per instance, in a fleet without callers.
func BenchmarkControl(b *testing.B) {
	for _, instances := range []int{4, 8, 16} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			config := Consorzio(b.TempDir(), instances)
			config.AdjustSettings = func(s *loader.Settings) { s.EntryValidity = time.Second }
			fleet, err := Start(config)
			if err != nil {
				b.Fatal(err)
			}
			defer fleet.Stop()
			if _, err := fleet.Publish(context.Background(), fleet.Inventory()); err != nil {
				b.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			before, cpu := fleet.Instances()[0].SentBytes(), processTime(b)
			const span = 5 * time.Second
			time.Sleep(span)
			b.ReportMetric(float64(fleet.Instances()[0].SentBytes()-before)/span.Seconds(), "B/s-sent")
			b.ReportMetric(100*(processTime(b)-cpu).Seconds()/span.Seconds()/float64(instances), "%-of-a-core")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// processTime returns the processor time that this process has used. It includes all
// instances and the stand-ins. The servers among them are idle without callers.
func processTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
