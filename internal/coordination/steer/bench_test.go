package steer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures the choice of a server for a request with an object.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 350, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, list, now := newBalancer(), servers(n), time.Now()
			q := Query{Object: "17", Region: "a"}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := balancer.Choose(now, list, q)
				balancer.Done(now, c, 0, false, n)
			}
		})
	}
}
