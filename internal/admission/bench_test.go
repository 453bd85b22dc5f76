package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

var customers = func() (ids []domain.CustomerID) {
	for i := range 2000 {
		ids = append(ids, domain.CustomerID(fmt.Sprint("customer-", i)))
	}
	return ids
}()

// The cost per request must grow with the number of tiers and the logarithm of
// the number of waiting requests only.
func BenchmarkOfferNext(b *testing.B) {
	for _, waiting := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			q := NewQueue(testTiers(8, 0, 0.05))
			now := start
			id := 0
			fill := func(r *Request) {
				id++
				r.state, r.Rank, r.Tokens, r.Group = stateNew, id%8, 100+id%900, uint64(id%6)
				r.Customer = customers[id%len(customers)]
				r.Arrived, r.Deadline = now, now.Add(time.Duration(1+id%7)*time.Hour)
				q.Offer(now, r)
			}
			for range waiting {
				fill(&Request{})
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				d, _ := q.Next(now, nil)
				q.Finish(now, d.Request)
				fill(d.Request)
			}
		})
	}
}

// Measures Offer on a full queue with waiting requests of 2,000 customers.
func BenchmarkOfferFullQueue(b *testing.B) {
	q := NewQueue(testTiers(8, 100_000, 0.05))
	for i := range 20_000 {
		q.Offer(start, &Request{Rank: 7 - i*8/20_000, Tokens: 40, Customer: customers[i%len(customers)]})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		q.Offer(start, &Request{Rank: i % 8, Tokens: 40, Customer: customers[i%len(customers)]})
	}
}
