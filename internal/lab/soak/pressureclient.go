package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	largeBodyBytes = 255 << 10
	halfBodyBytes  = 250 << 10
	// manyFieldsBytes is the size of the short fields in a head of ManyFields.
	manyFieldsBytes = 12 << 10
	// slowReadBytes and slowReadInterval set the pace of SlowReaders; slowWriteParts and slowWriteInterval that of
	// SlowWriters.
	slowReadBytes     = 2 << 10
	slowReadInterval  = 100 * time.Millisecond
	slowWriteParts    = 20
	slowWriteInterval = 100 * time.Millisecond
	// pressureRemaining is how long the clients wait for the first token.
	pressureRemaining = 4 * time.Second
	// floodBatch is how many requests a client of a flood writes at once.
	floodBatch     = 100
	reconnectDelay = 20 * time.Millisecond
)

// burden uses one connection until it ends.
func (p *Pressure) burden(n int, conn *net.TCPConn, end time.Time) {
	in := bufio.NewReaderSize(conn, slowReadBytes)
	switch p.Kind {
	case LargeRequests:
		p.exchange(in, end, func(id string) error { return p.writeBody(conn, id, largeBodyBytes, 1) })
	case ManyFields:
		p.exchange(in, end, func(id string) error {
			_, err := io.WriteString(conn, head(id, manyFields(), len(requestBody))+requestBody)
			return err
		})
	case SlowWriters:
		p.exchange(in, end, func(id string) error {
			return p.writeBody(conn, id, largeBodyBytes, slowWriteParts)
		})
	case HalfRequests:
		body := largeBody(halfBodyBytes)
		_, _ = io.WriteString(conn, head(p.nextID(), "", len(body))+body[:len(body)/2])
		p.countAnswer(in)
		_, _ = io.Copy(io.Discard, in)
	case HalfHeads:
		_, _ = io.WriteString(conn, strings.TrimSuffix(head(p.nextID(), manyFields(), 0), "\r\n"))
		p.countAnswer(in)
		_, _ = io.Copy(io.Discard, in)
	case SlowReaders:
		_ = conn.SetReadBuffer(slowReadBytes)
		_, _ = io.WriteString(conn, head(p.nextID(), "", len(requestBody))+requestBody)
		p.readSlowly(conn)
	case Flood, InvalidFlood:
		go p.countAnswers(in)
		p.flood(conn, end)
	case SmallRequests:
		p.exchange(in, end, func(id string) error {
			_, err := io.WriteString(conn, head(id, "", len(requestBody))+requestBody)
			return err
		})
	case ConnectionStorm:
		p.storm(conn, end)
	case Deserters:
		p.desert(n, conn)
	case PressureKindCount:
	}
}

// exchange sends requests one after another and reads their answers until the connection ends.
func (p *Pressure) exchange(in *bufio.Reader, end time.Time, write func(id string) error) {
	oracle := p.Dispatcher.fleet.Oracle
	for time.Now().Before(end) {
		id := p.nextID()
		oracle.RequestSent(Now(), id, p.Dispatcher.Name)
		if err := write(id); err != nil {
			if time.Now().Before(end) { // the answer came before the end of the request
				p.countAnswer(in)
			}
			return
		}
		sentAt := time.Now()
		oracle.RequestComplete(Now(), id)
		answer := readAnswer(in)
		if time.Now().After(end) { // the client has stopped waiting
			oracle.ClientCanceled(Now(), id)
			return
		}
		p.noteAnswer(answer.status, sentAt)
		switch late := time.Since(sentAt) - pressureRemaining; {
		case answer.truncated:
			oracle.StreamTruncated(id, 0)
		case answer.status == 0:
			oracle.AnswerMissingUnlessUnread(id, "closed without an answer")
		case late > answerTolerance && answer.status != http.StatusOK:
			oracle.AnswerMissing(id, fmt.Sprintf("answered %v after its time", late))
		}
		if answer.ended {
			return
		}
		if answer.status != http.StatusOK {
			time.Sleep(p.Pause)
		}
	}
}

// head returns the head of a request with additional fields.
func head(id, fields string, bodyBytes int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\n"+
		"X-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %s\r\nX-Remaining: %.3f\r\nX-Labels: prefix=%s\r\n%s"+
		"Content-Length: %d\r\n\r\n",
		id, effectIdempotent, id, pressureRemaining.Seconds(), id, fields, bodyBytes)
}

// manyFields returns thousands of short header fields.
func manyFields() string { return strings.Repeat("a:\r\n", manyFieldsBytes/len("a:\r\n")) }

// largeBody returns a valid body of the given size.
func largeBody(size int) string {
	const content = "abcd"
	before, after, _ := strings.Cut(requestBody, content)
	return before + strings.Repeat("a", size-len(before)-len(after)) + after
}

// writeBody writes a request with a body of the given size, in parts with a pause after each but the last.
func (p *Pressure) writeBody(conn net.Conn, id string, size, parts int) error {
	body := largeBody(size)
	text := head(id, "", len(body)) + body
	for part := range parts {
		if _, err := io.WriteString(conn, text[len(text)*part/parts:len(text)*(part+1)/parts]); err != nil {
			return err
		}
		if part < parts-1 {
			time.Sleep(slowWriteInterval)
		}
	}
	return nil
}

// pressureAnswer is the answer to a request of a pressure.
type pressureAnswer struct {
	status    int  // 0 = it did not come completely
	truncated bool // it began and did not come completely, as the answer of a server whose connection is lost
	ended     bool // the connection has ended
}

// readAnswer reads an answer.
func readAnswer(in *bufio.Reader) pressureAnswer {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return pressureAnswer{ended: true}
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return pressureAnswer{truncated: true, ended: true}
	}
	if response.Close {
		_, _ = io.Copy(io.Discard, in) // waits for the end of the connection
	}
	return pressureAnswer{status: response.StatusCode, ended: response.Close}
}

// countAnswer reads and counts an answer. It reports whether the connection has ended.
func (p *Pressure) countAnswer(in *bufio.Reader) (ended bool) {
	answer := readAnswer(in)
	p.count(answer.status)
	return answer.ended
}

// countAnswers reads answers until the connection ends.
func (p *Pressure) countAnswers(in *bufio.Reader) {
	for ended := false; !ended; {
		ended = p.countAnswer(in)
	}
}

// readSlowly reads at a slow pace until the connection ends.
func (p *Pressure) readSlowly(conn net.Conn) {
	buffer := make([]byte, slowReadBytes)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(slowReadInterval)
	}
}

// storm uses one connection after another until end.
func (p *Pressure) storm(conn net.Conn, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		id := p.nextID()
		request := head(id, "", len(requestBody)) + requestBody
		switch n % 3 {
		case 0:
			request = request[:len(request)/2]
		case 1:
			request = "POST / HTTP/1.1\r\nX-Txn: " + id + "\r\n\r\n"
		}
		_, _ = io.WriteString(conn, request)
		conn.Close()
		time.Sleep(p.Pause)
		next, err := net.DialTimeout("tcp", p.Dispatcher.Addr, dialTimeout)
		if err != nil {
			return
		}
		conn = next
	}
	conn.Close()
}

// flood writes requests at full speed until the connection ends.
func (p *Pressure) flood(conn net.Conn, end time.Time) {
	for time.Now().Before(end) {
		var batch strings.Builder
		for range floodBatch {
			if p.Kind == InvalidFlood {
				batch.WriteString("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Txn: " + p.nextID() + "\r\n\r\n")
				continue
			}
			batch.WriteString(head(p.nextID(), "", len(requestBody)) + requestBody)
		}
		if _, err := io.WriteString(conn, batch.String()); err != nil {
			return
		}
	}
}

const (
	// deserterRequests is how many requests a deserter pipelines, of which every second has deserterBodyBytes.
	deserterRequests  = 6
	deserterBodyBytes = 60 << 10
	// maxDesertionDelay is the longest time for which deserters wait before they close their connection.
	maxDesertionDelay = 900 * time.Millisecond
)

// desert pipelines requests and closes the connection at a moment that depends on the client and its requests, whether
// or not everything has been sent by then. The oracle checks that no attempt starts afterwards.
func (p *Pressure) desert(n int, conn *net.TCPConn) {
	oracle := p.Dispatcher.fleet.Oracle
	var ids []string
	var text strings.Builder
	for request := range deserterRequests {
		id := p.nextID()
		ids = append(ids, id)
		body := requestBody
		if request%2 == 0 {
			body = largeBody(deserterBodyBytes)
		}
		oracle.RequestSent(Now(), id, p.Dispatcher.Name)
		fmt.Fprintf(&text, "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\n"+
			"X-Remaining: %.3f\r\nContent-Length: %d\r\n\r\n%s",
			id, effectIdempotent, pressureRemaining.Seconds(), len(body), body)
	}
	_ = conn.SetWriteBuffer(text.Len()) // lets the client close with bytes unsent
	go func() { _, _ = io.WriteString(conn, text.String()) }()
	delay := time.Duration(hash(fmt.Sprint(n, ids[0])) % uint64(maxDesertionDelay))
	time.Sleep(delay)
	conn.Close()
	for _, id := range ids {
		oracle.ClientCanceled(Now(), id)
	}
}
