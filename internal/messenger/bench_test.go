package messenger_test

import (
	"context"
	"net"
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
// One client and one server share all connections, as an entry and its agents do.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 500
	for b.Loop() {
		a := authority(b)
		s, c := serve(b, a, newBlocker().handle), client(b, a)
		host, port, err := net.SplitHostPort(s.Addr())
		assert.NilError(b, err)
		assert.NilError(b, c.Call(context.Background(), s.Addr(), messenger.KindHold, nil, nil))
		before := memory()
		at := time.Now()
		for range connections {
			port = "0" + port // another name of the same address, to which the client opens another connection
			assert.NilError(b, c.Call(context.Background(), net.JoinHostPort(host, port), messenger.KindHold, nil, nil))
		}
		b.ReportMetric(float64(time.Since(at).Microseconds())/connections, "µs/connect")
		b.ReportMetric(float64(memory()-before)/connections, "B/connection")
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
