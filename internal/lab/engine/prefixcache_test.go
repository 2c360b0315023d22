package engine

import (
	"testing"

	pb "docksail/api/docksail/v1"
)

// TestPrefixCache checks what is cached of a prompt by its shared prefix and by its session, and what is evicted.
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
	c.lookUp(&pb.GenerateRequest{Tenant: "t", Beginning: "p", BeginningTokens: 300}) // the session is used less recently
	c.addPrompt(&pb.GenerateRequest{Tenant: "t", Session: "2", PromptTokens: 600})
	if got := c.lookUp(first); got != 300 {
		t.Errorf("%d tokens cached after an eviction, want 300 of the shared prefix", got)
	}
}
