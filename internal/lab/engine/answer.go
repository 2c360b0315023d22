package engine

import pb "docksail/api/docksail/v1"

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// vocabularySize is the number of different tokens.
const vocabularySize = 50000

// AnswerTokens returns the length of the answer to a request: between half of its limit and the limit. It depends
// only on the request, so that every server gives the same answer.
func AnswerTokens(req *pb.GenerateRequest) int {
	limit := max(int(req.MaxTokens), 1)
	return max(1, limit/2+int(requestHash(req)%uint64(limit/2+1)))
}

// TokenAt returns the token at a position of the answer to a request. Every server gives the same token.
func TokenAt(req *pb.GenerateRequest, position int) uint32 {
	const spread = 2654435761
	return uint32(requestHash(req)+uint64(position)*spread) % vocabularySize
}

func requestHash(req *pb.GenerateRequest) uint64 {
	hash := uint64(fnvOffset)
	for _, s := range []string{req.Session, req.Label, string(req.Prompt)} {
		for i := range len(s) {
			hash = (hash ^ uint64(s[i])) * fnvPrime
		}
	}
	return (hash ^ uint64(req.PromptTokens)) * fnvPrime >> 7
}
