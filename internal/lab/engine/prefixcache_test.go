package engine

import (
	"testing"

	pb "docksail/api/docksail/v1"
)

// TestPrefixCache checks lookups by shared prefix and by session, and the eviction of the least recently used entry.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(1000)
	first := &pb.GenerateRequest{Tenant: "t", Beginning: "p", BeginningTokens: 300, Session: "1", PromptTokens: 500}
	c.addPrompt(first)
	for _, test := range []struct {
		name string
		req  *pb.GenerateRequest
		want int64
	}{
		{"same session", first, 500},
		{"longer turn of the session", &pb.GenerateRequest{Tenant: "t", Session: "1", PromptTokens: 700}, 500},
		{"shared prefix", &pb.GenerateRequest{Tenant: "t", Beginning: "p", BeginningTokens: 300, PromptTokens: 900}, 300},
		{"other tenant", &pb.GenerateRequest{Tenant: "u", Beginning: "p", BeginningTokens: 300, Session: "1"}, 0},
		{"no prefix and no session", &pb.GenerateRequest{Tenant: "t", PromptTokens: 500}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := c.lookUp(test.req); got != test.want {
				t.Errorf("%d tokens cached, want %d", got, test.want)
			}
		})
	}
	c.lookUp(&pb.GenerateRequest{Tenant: "t", Beginning: "p", BeginningTokens: 300}) // the session becomes the oldest
	c.addPrompt(&pb.GenerateRequest{Tenant: "t", Session: "2", PromptTokens: 600})
	if got := c.lookUp(first); got != 300 {
		t.Errorf("%d tokens cached after an eviction, want 300 of the shared prefix", got)
	}
}
