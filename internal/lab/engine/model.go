package engine

import "time"

// Model determines the duration of work.
type Model interface {
	// PrefillTime returns the duration of a prefill with the given number of tokens that are not cached.
	PrefillTime(s *Spec, uncached int64, capacityShare float64) time.Duration
	// TokenInterval returns the time to the next token of an answer while the given number of answers run.
	TokenInterval(s *Spec, running int, capacityShare float64) time.Duration
	// TransferTime returns the duration of the transfer of a state to another server.
	TransferTime(s *Spec, tokens int64, sameCell bool) time.Duration
}

// LinearModel is the simple model: prefills run one after another at a constant rate, and the time between tokens
// grows linearly with the number of running answers, to twice its minimum when all slots are in use.
type LinearModel struct{}

// PrefillTime implements Model.
func (LinearModel) PrefillTime(s *Spec, uncached int64, capacityShare float64) time.Duration {
	return time.Duration(float64(uncached) / (s.PrefillRate * capacityShare) * 1e9)
}

// TokenInterval implements Model.
func (LinearModel) TokenInterval(s *Spec, running int, capacityShare float64) time.Duration {
	return time.Duration(float64(s.TokenInterval) * (1 + float64(running)/float64(max(s.Slots, 1))) / capacityShare)
}

// TransferTime implements Model.
func (LinearModel) TransferTime(s *Spec, tokens int64, sameCell bool) time.Duration {
	t := float64(tokens) / s.TransferRate
	if !sameCell {
		t *= 2
	}
	return time.Duration(t * 1e9)
}
