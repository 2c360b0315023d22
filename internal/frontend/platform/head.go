package platform

import (
	"bytes"
	"errors"
	"fmt"

	"docksail/internal/decide/clientconn"
	"docksail/internal/frontend"
	"docksail/internal/h1"
)

const (
	maxNameBytes      = 64 // of a session, prefix or tenant
	maxClassNameBytes = 64
	maxTokens         = maxBodyBytes // of a prompt, as each token takes at least one byte
	nanosPerDay       = 86400e9
	nanosPerMicro     = 1000
	// bytesPerToken estimates the length of a prompt if the client does not state it.
	bytesPerToken = 4
)

// requestHead is the parsed head of a request, kept until the body has arrived. Its buffers are reused.
type requestHead struct {
	id, path, class, session, prefix, tenant []byte
	forwardedFields                          []byte // header fields forwarded to servers, as lines
	remainingTime, expectedDuration          int64  // nanoseconds
	promptTokens, prefixTokens, maxTokens    int64
	resent                                   bool
}

// requestField is a header field that the frontend parses. Others are forwarded to servers.
type requestField uint8

const (
	fieldID requestField = iota
	fieldClass
	fieldSession
	fieldRemaining
	fieldLabels
	fieldEstimate
	fieldResent
	fieldTenant
)

const requestFieldCount = int(fieldTenant) + 1

// requestFieldsByName maps names in lower case to fields.
var requestFieldsByName = map[string]requestField{
	"x-txn":       fieldID,
	"x-lane":      fieldClass,
	"x-entity":    fieldSession,
	"x-remaining": fieldRemaining,
	"x-labels":    fieldLabels,
	"x-estimate":  fieldEstimate,
	"x-resent":    fieldResent,
	"x-org":       fieldTenant,
}

// hopByHopFields holds the names, in lower case, of fields that are not forwarded: they concern the client's
// connection only, or the backend writes them itself.
var hopByHopFields = map[string]bool{
	"host": true, "content-length": true, "content-type": true, "transfer-encoding": true, "connection": true,
	"keep-alive": true, "proxy-connection": true, "te": true, "trailer": true, "upgrade": true, "expect": true,
}

// parse sets r from a head. It returns an error if a field is invalid, repeated or missing.
func (r *requestHead) parse(head *h1.Head) error {
	r.reset(head.Target)
	var options connectionOptions
	if err := options.parse(head); err != nil {
		return err
	}
	var seen [requestFieldCount]bool
	for _, f := range head.Fields {
		field, known := requestFieldsByName[string(lowerCase(f.Name))]
		if !known {
			r.forwardEndToEnd(&options, f)
			continue
		}
		if seen[field] {
			return fmt.Errorf("several %s", f.Name)
		}
		seen[field] = true
		if err := r.set(field, f.Value); err != nil {
			return fmt.Errorf("%s %.40q: %w", f.Name, f.Value, err)
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

// reset clears all members but the buffers, and sets the path.
func (r *requestHead) reset(path []byte) {
	*r = requestHead{
		id:              r.id[:0],
		path:            append(r.path[:0], path...),
		class:           r.class[:0],
		session:         r.session[:0],
		prefix:          r.prefix[:0],
		tenant:          r.tenant[:0],
		forwardedFields: r.forwardedFields[:0],
	}
}

// set parses the value of a field and sets the member for it.
func (r *requestHead) set(field requestField, value []byte) (err error) {
	switch field {
	case fieldID:
		if !isRequestID(value) {
			return errors.New("want 16 hexadecimal digits")
		}
		r.id = append(r.id, value...)
	case fieldClass:
		if len(value) == 0 || len(value) > maxClassNameBytes {
			return errors.New("class name is empty or too long")
		}
		r.class = append(r.class, value...)
	case fieldSession:
		if len(value) > maxNameBytes {
			return errors.New("session name is too long")
		}
		r.session = append(r.session, value...)
	case fieldTenant:
		if len(value) == 0 || len(value) > maxNameBytes {
			return errors.New("tenant name is empty or too long")
		}
		r.tenant = append(r.tenant, value...)
	case fieldRemaining:
		r.remainingTime, err = parseSeconds(value)
	case fieldLabels:
		err = r.setLabels(value)
	case fieldEstimate:
		var micros int64
		micros, err = parseNumber(value, nanosPerDay/nanosPerMicro)
		r.expectedDuration = micros * nanosPerMicro
	case fieldResent:
		r.resent = string(value) == "1"
	}
	return err
}

// setLabels parses what the client states about the prompt: pairs KEY=VALUE, separated by commas. It ignores unknown
// keys.
func (r *requestHead) setLabels(labels []byte) error {
	for len(labels) > 0 {
		var pair []byte
		pair, labels, _ = bytes.Cut(labels, []byte{','})
		key, value, ok := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		if !ok {
			return fmt.Errorf("label %.20q has no value", pair)
		}
		if err := r.setLabel(key, value); err != nil {
			return fmt.Errorf("label %s: %w", key, err)
		}
	}
	if r.prefixTokens > r.promptTokens {
		return errors.New("prefix_len is more than prompt_len")
	}
	return nil
}

func (r *requestHead) setLabel(key, value []byte) (err error) {
	switch string(key) {
	case "prefix":
		if len(value) == 0 || len(value) > maxNameBytes {
			return errors.New("name is empty or too long")
		}
		r.prefix = append(r.prefix[:0], value...)
	case "prompt_len":
		r.promptTokens, err = parseNumber(value, maxTokens)
	case "prefix_len":
		r.prefixTokens, err = parseNumber(value, maxTokens)
	case "max_out":
		r.maxTokens, err = parseNumber(value, maxTokens)
	}
	return err
}

// forwardEndToEnd adds a field to forwardedFields if it is end-to-end: it is not one of hopByHopFields, and the
// Connection field does not list it.
func (r *requestHead) forwardEndToEnd(options *connectionOptions, field h1.Field) {
	if hopByHopFields[string(lowerCase(field.Name))] || options.contain(field.Name) {
		return
	}
	r.forwardedFields = append(r.forwardedFields, field.Name...)
	r.forwardedFields = append(r.forwardedFields, ": "...)
	r.forwardedFields = append(r.forwardedFields, field.Value...)
	r.forwardedFields = append(r.forwardedFields, "\r\n"...)
}

// connectionOptions are the options that the Connection fields of a head list.
type connectionOptions struct {
	names [clientconn.MaxConnectionOptions][]byte
	count int
}

// parse collects the options of a head. It returns an error if there are more than clientconn.MaxConnectionOptions.
func (o *connectionOptions) parse(head *h1.Head) error {
	for _, f := range head.Fields {
		if !bytes.EqualFold(f.Name, []byte("connection")) {
			continue
		}
		for option := range bytes.SplitSeq(f.Value, []byte{','}) {
			if o.count == len(o.names) {
				return errors.New("too many Connection options")
			}
			o.names[o.count] = bytes.TrimSpace(option)
			o.count++
		}
	}
	return nil
}

// contain reports whether name is one of the options, ignoring case.
func (o *connectionOptions) contain(name []byte) bool {
	for _, option := range o.names[:o.count] {
		if bytes.EqualFold(option, name) {
			return true
		}
	}
	return false
}

// buildRequest sets request from the head and the complete body, whose bytes it does not copy. age is the time since
// the first byte of the request arrived, possibly while another request was in flight: it is subtracted from the
// client's timeout.
func (r *requestHead) buildRequest(request *frontend.Request, body []byte, age int64) error {
	if err := checkBody(body); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	*request = frontend.Request{
		Raw:               body,
		ClientRequestID:   r.id,
		Path:              r.path,
		Header:            r.forwardedFields,
		Class:             r.class,
		Tenant:            r.tenant,
		Session:           r.session,
		Prefix:            r.prefix,
		PromptTokens:      r.promptTokens,
		PrefixTokens:      r.prefixTokens,
		MaxTokens:         r.maxTokens,
		ExpectedDuration:  r.expectedDuration,
		FirstTokenTimeout: max(r.remainingTime-age, 1),
	}
	if r.resent {
		request.PreviousAttempts = 1
	}
	if request.PromptTokens == 0 {
		request.PromptTokens = int64(len(body)) / bytesPerToken
	}
	return nil
}
