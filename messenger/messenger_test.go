package messenger_test

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lagoonstile"
	"lagoonstile/messenger"
	"lagoonstile/steerer"
)

// source has the same to tell at any time.
type source struct{ reports []steerer.Report }

func (s source) Own() messenger.Digest {
	return messenger.Digest{Incarnation: "life-1", Version: 7, Known: messenger.Known{Entries: 3, Reads: true}}
}

func (s source) Reports(time.Time) []steerer.Report { return s.reports }

// heard is what a messenger passed on.
type heard struct {
	from   lagoonstile.InstanceID
	digest messenger.Digest
}

func listen(t *testing.T, reports []steerer.Report) (*messenger.Messenger, <-chan heard) {
	t.Helper()
	all := make(chan heard, 64)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	m, err := messenger.Listen("127.0.0.1:0", source{reports}, func(from lagoonstile.InstanceID, digest messenger.Digest) {
		all <- heard{from, digest}
	}, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m, all
}

func member(id lagoonstile.InstanceID, m *messenger.Messenger) lagoonstile.Member {
	return lagoonstile.Member{ID: id, PeerAddress: m.Address()}
}

func next(t *testing.T, all <-chan heard) heard {
	t.Helper()
	select {
	case got := <-all:
		return got
	case <-time.After(10 * time.Second):
		t.Fatal("nothing is heard")
	}
	return heard{}
}

// TestMembersHearEachOther sends one digest from one member to another.
func TestMembersHearEachOther(t *testing.T) {
	a, _ := listen(t, nil)
	b, heardByB := listen(t, nil)
	a.SetMembers([]lagoonstile.Member{member("b", b), {ID: "odd", PeerAddress: "nowhere"}})
	b.SetMembers([]lagoonstile.Member{member("a", a)})
	reports := []steerer.Report{{Key: 9, Good: 2, Bad: 1, InFlight: 3, Gone: true}}
	a.Tell(reports)
	want := heard{"a", source{}.Own()}
	want.digest.Reports = reports
	if diff := cmp.Diff(want, next(t, heardByB), cmp.AllowUnexported(heard{}), cmpopts.IgnoreUnexported(steerer.Report{}, messenger.Known{})); diff != "" {
		t.Errorf("heard (-want +got):\n%s", diff)
	}
}

// TestManyReportsTakeSeveralDatagrams keeps a datagram under the size of a frame.
func TestManyReportsTakeSeveralDatagrams(t *testing.T) {
	a, _ := listen(t, nil)
	b, heardByB := listen(t, nil)
	a.SetMembers([]lagoonstile.Member{member("b", b)})
	b.SetMembers([]lagoonstile.Member{member("a", a)})
	var reports []steerer.Report
	for n := range 200 {
		reports = append(reports, steerer.Report{Key: 1 << 30, Good: uint64(n) << 16, Bad: 1 << 16, InFlight: n})
	}
	a.Tell(reports)
	got := 0
	for got < len(reports) {
		got += len(next(t, heardByB).digest.Reports)
	}
	if datagrams, bytes := a.Sent(); bytes/datagrams > 1400 {
		t.Errorf("%d bytes in %d datagrams", bytes, datagrams)
	}
}

// TestStrangersAndGarbageAreDropped sends from an address that is no member's,
// and bytes that are no digest from one that is.
func TestStrangersAndGarbageAreDropped(t *testing.T) {
	a, _ := listen(t, nil)
	b, heardByB := listen(t, nil)
	a.SetMembers([]lagoonstile.Member{member("b", b)})
	a.Tell(nil)
	odd, err := net.Dial("udp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = odd.Close() }()
	for end := time.Now().Add(10 * time.Second); b.Strangers() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if b.Strangers() == 0 {
		t.Error("a stranger's datagram is not counted")
	}
	b.SetMembers([]lagoonstile.Member{member("a", a), {ID: "odd", PeerAddress: odd.LocalAddr().String()}})
	for _, garbage := range []string{"\xff\xff", "text", "\xa1\x01\x02"} {
		if _, err := odd.Write([]byte(garbage)); err != nil {
			t.Fatal(err)
		}
	}
	a.Tell(nil)
	if got := next(t, heardByB); got.from != "a" {
		t.Errorf("heard %+v, want the member's digest only", got)
	}
}
