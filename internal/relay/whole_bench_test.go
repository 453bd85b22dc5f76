package relay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/auburndyke/auburndyke/internal/balancer"
)

// The cost of the identity of a request, which each request pays.
func BenchmarkWholeRequest(b *testing.B) {
	r := &http.Request{Method: http.MethodPost, Host: "shop.example", RequestURI: "/again/item?id=7"}
	prompt := []balancer.Part{{ID: 1}, {ID: 2}, {ID: 3}}
	for _, size := range []int{0, 17 << 10, 4 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				wholeRequest(r, prompt, body)
			}
		})
	}
}
