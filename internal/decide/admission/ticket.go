package admission

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
)

// Ticket is a reservation that the client of a rejected request presents when it retries.
type Ticket struct {
	Tenant int
	Client uint64 // as in Request
	Slot   int64  // number of the time slot in which the retry is due
	Serial uint32 // number of the reservation within its slot
}

// An encoded ticket is the tenant, the client, the slot and the serial in big-endian order, followed by the signature.
const (
	clientOffset    = 8
	slotOffset      = clientOffset + 8
	serialOffset    = slotOffset + 8
	signatureOffset = serialOffset + 4
	signatureSize   = 16
	ticketSize      = signatureOffset + signatureSize
)

// ErrInvalidTicket reports that a ticket has the wrong size or was not signed with the key of the signer.
var ErrInvalidTicket = errors.New("invalid ticket size or signature")

// TicketSigner signs tickets, so that clients can neither forge nor change one.
type TicketSigner struct {
	mac hash.Hash
	sum []byte // reused by signature
}

// NewTicketSigner returns a signer. The key should be 32 random bytes. Only signers with the same key accept its
// tickets.
func NewTicketSigner(key []byte) *TicketSigner { return &TicketSigner{mac: hmac.New(sha256.New, key)} }

// signature returns the signature of data. The result is valid until the next call.
func (s *TicketSigner) signature(data []byte) []byte {
	s.mac.Reset()
	s.mac.Write(data)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:signatureSize]
}

// Encode returns the signed encoding of a ticket, as sent to its client.
func (s *TicketSigner) Encode(t *Ticket) []byte {
	b := make([]byte, 0, ticketSize)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Tenant))
	b = binary.BigEndian.AppendUint64(b, t.Client)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Slot))
	b = binary.BigEndian.AppendUint32(b, t.Serial)
	return append(b, s.signature(b)...)
}

// Decode returns the ticket encoded as b. It returns ErrInvalidTicket if the size or the signature of b is wrong.
func (s *TicketSigner) Decode(b []byte) (*Ticket, error) {
	if len(b) != ticketSize || !hmac.Equal(s.signature(b[:signatureOffset]), b[signatureOffset:]) {
		return nil, ErrInvalidTicket
	}
	return &Ticket{
		Tenant: int(binary.BigEndian.Uint64(b)),
		Client: binary.BigEndian.Uint64(b[clientOffset:]),
		Slot:   int64(binary.BigEndian.Uint64(b[slotOffset:])),
		Serial: binary.BigEndian.Uint32(b[serialOffset:]),
	}, nil
}
