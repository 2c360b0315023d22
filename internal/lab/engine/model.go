package engine

import "time"

// Model says how long work takes. A better emulator can take its place.
type Model interface {
	// PrefillTime returns how long it takes to read a prompt of which unread tokens are not cached.
	PrefillTime(s *Spec, unread int64, warmth float64) time.Duration
	// TokenInterval returns the time to the next token of an answer while the given number of answers run.
	TokenInterval(s *Spec, running int, warmth float64) time.Duration
	// TransferTime returns how long a state takes to another server.
	TransferTime(s *Spec, tokens int64, sameCell bool) time.Duration
}

// LinearModel is the simple model: prompts are read at a steady rate one after another, and the time between tokens
// grows with the running answers to twice its length.
type LinearModel struct{}

// PrefillTime implements Model.
func (LinearModel) PrefillTime(s *Spec, unread int64, warmth float64) time.Duration {
	return time.Duration(float64(unread) / (s.PrefillRate * warmth) * 1e9)
}

// TokenInterval implements Model.
func (LinearModel) TokenInterval(s *Spec, running int, warmth float64) time.Duration {
	return time.Duration(float64(s.TokenGap) * (1 + float64(running)/float64(max(s.Slots, 1))) / warmth)
}

// TransferTime implements Model.
func (LinearModel) TransferTime(s *Spec, tokens int64, sameCell bool) time.Duration {
	t := float64(tokens) / s.TransferRate
	if !sameCell {
		t *= 2
	}
	return time.Duration(t * 1e9)
}
