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
	for _, overTCP := range []bool{false, true} {
		b.Run(map[bool]string{false: "QUIC", true: "TCP"}[overTCP], func(b *testing.B) {
			ca := newAuthority(b)
			address := startServer(b, ca, newBlockingHandler().handle).Addr()
			if overTCP {
				r := newRelay(b, address)
				r.dropUDP.Store(true)
				address = r.address()
			}
			client := newClient(b, ca)
			for b.Loop() {
				assert.NilError(b, client.Call(context.Background(), address, messenger.KindHold, nil, nil))
			}
		})
	}
}

// BenchmarkIdleConnection reports the time to open a connection and the memory that both its ends use while it is idle.
// Both ends are in this process. All connections have the same client and the same server, as those between an entry
// and its agents share the entry.
func BenchmarkIdleConnection(b *testing.B) {
	const connectionCount = 500
	for b.Loop() {
		ca := newAuthority(b)
		server, client := startServer(b, ca, newBlockingHandler().handle), newClient(b, ca)
		host, port, err := net.SplitHostPort(server.Addr())
		assert.NilError(b, err)
		assert.NilError(b, client.Call(context.Background(), server.Addr(), messenger.KindHold, nil, nil))
		memoryBefore := memoryInUse()
		startedAt := time.Now()
		for range connectionCount {
			port = "0" + port // the same port with one more leading zero, for which the client opens another connection
			assert.NilError(b, client.Call(context.Background(), net.JoinHostPort(host, port), messenger.KindHold, nil, nil))
		}
		b.ReportMetric(float64(time.Since(startedAt).Microseconds())/connectionCount, "µs/connect")
		b.ReportMetric(float64(memoryInUse()-memoryBefore)/connectionCount, "B/connection")
	}
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
