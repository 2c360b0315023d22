package platform

import (
	"bytes"
	"docksail/internal/frontend"
	"docksail/internal/h1"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

func cut(p []byte, sep byte) (before, after []byte, found bool) { return bytes.Cut(p, []byte{sep}) }

// parsedRequest is what the head of a request says of its request, kept until the body has come.
type parsedRequest struct {
	id, path, class, session, prefix      []byte
	tenant                                []byte
	fields                                []byte // header fields that servers are to see as well, as lines
	remaining, hint                       int64
	promptTokens, prefixTokens, maxTokens int64
	resent                                bool
}

const (
	nameMost  = 64
	trackMost = 64
	tokenMost = bodyMost // of a prompt: each takes a byte at least
	wholeDay  = 86400e9
)

// head reads the fields that the platform has.
func (a *parsedRequest) head(h *h1.Head) error {
	*a = parsedRequest{
		id: a.id[:0], path: append(a.path[:0], h.Target...), class: a.class[:0], session: a.session[:0],
		prefix: a.prefix[:0], tenant: a.tenant[:0], fields: a.fields[:0],
	}
	var seen [len(fieldNameList)]bool
	for _, f := range h.Fields {
		i, known := fieldNames[string(lower(f.Name))]
		if !known {
			if endToEnd(h, f.Name) {
				a.fields = append(append(append(append(a.fields, f.Name...), ": "...), f.Value...), "\r\n"...)
			}
			continue
		}
		if seen[i] {
			return fmt.Errorf("several %s", f.Name)
		}
		seen[i] = true
		v := f.Value
		var err error
		switch i {
		case fieldID:
			if !hexName(v) {
				err = errors.New("want 16 hexadecimal digits")
			}
			a.id = append(a.id, v...)
		case fieldClass:
			if len(v) == 0 || len(v) > trackMost {
				err = errors.New("want the name of a class")
			}
			a.class = append(a.class, v...)
		case fieldSession:
			if len(v) > nameMost {
				err = errors.New("too long")
			}
			a.session = append(a.session, v...)
		case fieldRemaining:
			a.remaining, err = seconds(v)
		case fieldLabels:
			err = a.labels(v)
		case fieldHint:
			var us int64
			if us, err = whole(v, wholeDay/1000); err == nil {
				a.hint = us * 1000
			}
		case fieldResent:
			a.resent = string(v) == "1"
		case fieldTenant:
			if len(v) == 0 || len(v) > nameMost {
				err = errors.New("want the name of a tenant")
			}
			a.tenant = append(a.tenant, v...)
		}
		if err != nil {
			return fmt.Errorf("%s %.40q: %w", f.Name, v, err)
		}
	}
	switch {
	case !seen[fieldID]:
		return errors.New("no X-Txn")
	case !seen[fieldClass]:
		return errors.New("no X-Lane")
	case !seen[fieldRemaining]:
		return errors.New("no X-Remaining")
	}
	return nil
}

const (
	fieldID = iota
	fieldClass
	fieldSession
	fieldRemaining
	fieldLabels
	fieldHint
	fieldResent
	fieldTenant
)

// fieldNameList has the fields that are the dispatcher's to read, in lower case and in the order of their numbers.
var fieldNameList = [...]string{"x-txn", "x-lane", "x-entity", "x-remaining", "x-labels", "x-estimate", "x-resent", "x-org"}

var fieldNames = numbered(fieldNameList[:])

func numbered(names []string) map[string]int {
	numbers := make(map[string]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// hopFields concern one connection only, or are written anew for the server.
var hopFields = map[string]bool{
	"host": true, "content-length": true, "content-type": true, "transfer-encoding": true, "connection": true,
	"keep-alive": true, "proxy-connection": true, "te": true, "trailer": true, "upgrade": true, "expect": true,
}

// endToEnd tells that a field goes on to the server: it is none of this connection's own, be it by name or because the
// client's Connection field lists it.
func endToEnd(h *h1.Head, name []byte) bool {
	if hopFields[string(lower(name))] {
		return false
	}
	for _, f := range h.Fields {
		if !bytes.EqualFold(f.Name, []byte("connection")) {
			continue
		}
		for _, listed := range bytes.Split(f.Value, []byte{','}) {
			if bytes.EqualFold(bytes.TrimSpace(listed), name) {
				return false
			}
		}
	}
	return true
}

func lower(b []byte) []byte {
	var buf [32]byte
	if len(b) > len(buf) {
		return nil
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buf[i] = c
	}
	return buf[:len(b)]
}

func hexName(v []byte) bool {
	for _, c := range v {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(v) == 16
}

// seconds reads a span with decimals: digits and at most one point, above 0.
func seconds(v []byte) (int64, error) {
	points, digits := 0, 0
	for _, c := range v {
		switch {
		case c == '.':
			points++
		case '0' <= c && c <= '9':
			digits++
		default:
			points = 2
		}
	}
	x, err := strconv.ParseFloat(string(v), 64)
	if points > 1 || digits == 0 || err != nil || len(v) > 24 || x <= 0 {
		return 0, errors.New("want seconds above 0")
	}
	return max(int64(min(x*1e9, wholeDay)), 1), nil
}

func whole(v []byte, most int64) (int64, error) {
	n, err := strconv.ParseUint(string(v), 10, 63)
	if err != nil || int64(n) > most {
		return 0, fmt.Errorf("want a number from 0 to %d", most)
	}
	return int64(n), nil
}

// labels reads what the client says of the prompt.
func (a *parsedRequest) labels(v []byte) error {
	for len(v) > 0 {
		var pair []byte
		pair, v, _ = cut(v, ',')
		key, value, ok := cut(bytes.TrimSpace(pair), '=')
		if !ok {
			return fmt.Errorf("label %.20q has no value", pair)
		}
		var err error
		switch string(key) {
		case "prefix":
			if len(value) == 0 || len(value) > nameMost {
				err = errors.New("want a name")
			}
			a.prefix = append(a.prefix[:0], value...)
		case "prompt_len":
			a.promptTokens, err = whole(value, tokenMost)
		case "prefix_len":
			a.prefixTokens, err = whole(value, tokenMost)
		case "max_out":
			a.maxTokens, err = whole(value, tokenMost)
		}
		if err != nil {
			return fmt.Errorf("label %s: %w", key, err)
		}
	}
	if a.prefixTokens > a.promptTokens {
		return errors.New("prefix_len is more than prompt_len")
	}
	return nil
}

// body is the shape that a request's body must have; what it says is the server's matter.
type body struct {
	Model    *text     `json:"model"`
	Messages []message `json:"messages"`
	Stream   *bool     `json:"stream"`
	Max      *int64    `json:"max_tokens"`
}

type message struct {
	Role    *text `json:"role"`
	Content *text `json:"content"`
}

// text is a JSON string whose value nobody here needs.
type text struct{}

func (*text) UnmarshalJSON(b []byte) error {
	if len(b) == 0 || b[0] != '"' {
		return errors.New("want a string")
	}
	return nil
}

// request makes the request of a request that has all come; age is how long ago its first byte came, be it while another was
// in hand: the client's time has run since.
func (a *parsedRequest) request(r *frontend.Request, raw []byte, age int64) error {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if b.Model == nil || len(b.Messages) == 0 {
		return errors.New("body: want model and messages")
	}
	for i, m := range b.Messages {
		if m.Role == nil || m.Content == nil {
			return fmt.Errorf("body: message %d: want role and content", i)
		}
	}
	if b.Max != nil && (*b.Max < 0 || *b.Max > tokenMost) {
		return fmt.Errorf("body: max_tokens %d", *b.Max)
	}
	*r = frontend.Request{
		Raw: raw, ClientID: a.id, Path: a.path, Header: a.fields, Class: a.class, Tenant: a.tenant, Session: a.session, Prefix: a.prefix,
		PromptTokens: a.promptTokens, PrefixTokens: a.prefixTokens, MaxTokens: a.maxTokens, LengthHint: a.hint, FirstTokenTimeout: max(a.remaining-age, 1),
	}
	if a.resent {
		r.PreviousAttempts = 1
	}
	if r.PromptTokens == 0 {
		r.PromptTokens = int64(len(raw)) / tokenBytes
	}
	return nil
}

const tokenBytes = 4
