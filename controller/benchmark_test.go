package controller

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/counter"
	"lagoonstile/encoder"
	"lagoonstile/gossiper"
)

// benchmarkSizes are the numbers of servers over which the growth of each cost
// is measured.
var benchmarkSizes = []int{30, 300, 3000, 30_000}

const serversPerService = 23 // corresponds to 200,000 servers in 8,800 services

// newChange returns a change that configures the given number of servers.
func newChange(servers int) *lagoonstile.Change {
	change := &lagoonstile.Change{ID: "first"}
	for at := 0; at < servers; at += serversPerService {
		service := &lagoonstile.Service{
			ID: lagoonstile.ServiceID(fmt.Sprintf("service-%05d", at/serversPerService)), Rank: lagoonstile.RankLookups, Idempotent: true,
			Floor: 0.5, FalseEjectionsPerWeek: 1, Deadline: time.Second, RetryShare: 0.1, ConnectionsPerServer: 24,
			Routes: []lagoonstile.Route{{PathPrefix: fmt.Sprint("/service-", at)}},
		}
		for i := at; i < min(at+serversPerService, servers); i++ {
			service.Servers = append(service.Servers, lagoonstile.Server{
				ID: lagoonstile.ServerID(fmt.Sprintf("server-%06d", i)), Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
				FailureDomain: lagoonstile.FailureDomain(fmt.Sprint("domain-", i%11)), Slots: 6,
			})
		}
		change.Set = append(change.Set, service)
	}
	return change
}

// newStateWith returns a state whose configuration has the given number of
// servers.
func newStateWith(tb testing.TB, servers int) *State {
	tb.Helper()
	data, err := encoder.Encode(lagoonstile.Record{Change: newChange(servers)})
	if err != nil {
		tb.Fatal(err)
	}
	s := New(rand.New(rand.NewPCG(1, 1)))
	s.SetIdentity(time.Unix(0, 0), Identity{Instance: "proxy-1", Incarnation: "i", FailureDomain: "domain-1"})
	s.ApplyPage(time.Unix(0, 0), lagoonstile.Page{Next: 1, Entries: []lagoonstile.Entry{{Data: data}}})
	if s.Table() == nil {
		tb.Fatal("no configuration in force")
	}
	return s
}

// answerHundredth records one good answer for every hundredth server.
func answerHundredth(s *State) {
	n := 0
	for _, service := range s.order {
		for _, server := range service.order {
			if n++; n%100 == 0 {
				server.target.Live.Observe(counter.ResultGood, 20*time.Millisecond)
			}
		}
	}
}

// BenchmarkSlopeTick measures one iteration of the control loop, which runs ten
// times a second.
func BenchmarkSlopeTick(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := newStateWith(b, size)
			now := time.Unix(0, 0)
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				answerHundredth(s)
				s.Tick(now)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/server")
		})
	}
}

// BenchmarkSlopeMemory measures the heap that a configuration and its control
// state occupy.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newStateWith(b, size)
				s.Tick(time.Unix(1, 0))
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/server")
		})
	}
}

// BenchmarkSlopeChange measures the application of a change to one service, and
// the size of its record, while all services are in force.
func BenchmarkSlopeChange(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := newStateWith(b, size)
			service := *s.order[0].rules
			var bytes int
			for i := 1; b.Loop(); i++ {
				service.Deadline = time.Duration(i) * time.Second
				next := service
				change := &lagoonstile.Change{ID: lagoonstile.ChangeID(fmt.Sprint(i)), Base: s.Version(), Set: []*lagoonstile.Service{&next}}
				data, err := encoder.Encode(lagoonstile.Record{Change: change})
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
				s.ApplyPage(time.Unix(int64(i), 0), lagoonstile.Page{Next: lagoonstile.Offset(i) + 1, Entries: []lagoonstile.Entry{{Offset: lagoonstile.Offset(i), Data: data}}})
			}
			if int(s.Version()) != b.N+1 {
				b.Fatalf("version %d after %d changes", s.Version(), b.N)
			}
			b.ReportMetric(float64(bytes), "B/change")
		})
	}
}

// BenchmarkSlopeSnapshot measures the encoding and the size of a snapshot.
func BenchmarkSlopeSnapshot(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := newStateWith(b, size)
			snapshot, _ := s.Snapshot()
			var bytes int
			for b.Loop() {
				data, err := encoder.Encode(snapshot)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes)/float64(size), "B/server")
		})
	}
}

// BenchmarkSlopeGossip measures the bytes that one instance sends to all of its
// peers per second, while it serves 500 requests per second of which one in 200
// fails.
func BenchmarkSlopeGossip(b *testing.B) {
	for _, size := range benchmarkSizes[:3] {
		for _, peers := range []int{3, 7, 11, 15} {
			b.Run(fmt.Sprintf("%d/peers-%d", size, peers), func(b *testing.B) {
				s := newStateWith(b, size)
				random := rand.New(rand.NewPCG(1, 2))
				senders := make([]gossiper.Sender, peers)
				now := time.Unix(0, 0)
				var bytes int
				runSecond := func() {
					for tick := range 10 {
						now = now.Add(100 * time.Millisecond)
						for range 50 {
							service := s.order[random.IntN(len(s.order))]
							result := counter.ResultGood
							if random.IntN(200) == 0 {
								result = counter.ResultBad
							}
							service.order[random.IntN(len(service.order))].target.Live.Observe(result, 20*time.Millisecond)
						}
						s.Tick(now)
						if tick%2 > 0 {
							continue
						}
						complete := s.CompleteDigest(gossiper.Digest{Epoch: 1, Load: 12})
						for i := range senders {
							if digest, due := senders[i].Next(now, complete); due {
								data, err := encoder.Encode(digest)
								if err != nil {
									b.Fatal(err)
								}
								bytes += len(data)
							}
						}
					}
				}
				runSecond()
				bytes = 0
				for b.Loop() {
					runSecond()
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "B/s-sent")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1e4, "%-of-a-core")
			})
		}
	}
}
