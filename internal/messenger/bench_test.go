package messenger_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/messenger"
)

func BenchmarkCall(b *testing.B) {
	for _, tcp := range []bool{false, true} {
		b.Run(map[bool]string{false: "QUIC", true: "TCP"}[tcp], func(b *testing.B) {
			a := authority(b)
			address := serve(b, a, newBlocker().handle).Addr()
			if tcp {
				r := newRelay(b, address)
				r.udpBlocked.Store(true)
				address = r.addr()
			}
			c := client(b, a)
			for b.Loop() {
				assert.NilError(b, c.Call(context.Background(), address, messenger.KindHold, nil, nil))
			}
		})
	}
}

// BenchmarkIdleConnection reports the memory of both ends of one idle connection, which are in this process.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 500
	for b.Loop() {
		a := authority(b)
		s := serve(b, a, newBlocker().handle)
		address := s.Addr()
		clients := make([]*messenger.Client, connections)
		before := memory()
		at := time.Now()
		for i := range clients {
			clients[i] = client(b, a)
			assert.NilError(b, clients[i].Call(context.Background(), address, messenger.KindHold, nil, nil))
		}
		b.ReportMetric(float64(time.Since(at).Microseconds())/connections, "µs/connect")
		b.ReportMetric(float64(memory()-before)/connections, "B/connection")
		for _, c := range clients {
			c.Close()
		}
	}
}

// memory returns the bytes of live heap and of stacks.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
