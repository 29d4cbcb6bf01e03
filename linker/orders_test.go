package linker_test

import (
	"context"
	"errors"
	"testing"

	"lagoonstile/dispatcher"
	"lagoonstile/linker"
)

// TestRoomForOrdersIsReserved sends orders of several sizes. A peer that has no room must
// not receive the order, and no room must stay reserved.
func TestRoomForOrdersIsReserved(t *testing.T) {
	a, b := start(t, "127.0.0.1:0", "a", "b"), start(t, "127.0.0.1:0", "b", "a")
	defer a.linker.Close()
	defer b.linker.Close()
	a.linker.SetPeers(instanceList(b, "b"))
	await(t, "a is connected to b", func() bool { return a.linker.ConnectionNumbers()["b"] > 0 })
	for _, test := range []struct {
		size int
		want error
	}{{0, nil}, {1 << 10, nil}, {1 << 20, nil}, {1<<20 + 1, linker.ErrNoRoom}} {
		response, err := a.linker.CallOrder(context.Background(), "b", &dispatcher.Order{Key: "k", Body: make([]byte, test.size)})
		if !errors.Is(err, test.want) {
			t.Errorf("order of %d bytes: error %v, want %v", test.size, err, test.want)
		}
		if err == nil && string(response.Reply.Answer.Body) != "answer to k" {
			t.Errorf("order of %d bytes: response %+v", test.size, response)
		}
	}
	await(t, "no room is reserved", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.reserved == 0
	})
}
