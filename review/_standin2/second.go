package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	secondAfter  = 12 * time.Millisecond // from the end of an answer to the second one
	secondShare  = 0.1                   // of the answers of decode hosts that are followed by a second one
	secondRate   = 60                    // requests a second
	secondFor    = 25 * time.Second
	secondDecode = 30 * time.Millisecond // from a request to its answer at a decode host
)

// echoHost is a decode host of which some streams bring more than belongs to them: the same answer once more, some
// milliseconds after its end. Its answers name the request that they are for.
type echoHost struct {
	addr    string
	record  *record
	trouble bool
	mu      sync.Mutex
	random  *rand.Rand
	seconds int
}

func startEchoHost(r *record, seed int64, trouble bool) (*echoHost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &echoHost{addr: listener.Addr().String(), record: r, trouble: trouble, random: rand.New(rand.NewSource(seed))}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h, nil
}

// drawSecond reports whether an answer is followed by a second one.
func (h *echoHost) drawSecond() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.trouble || h.random.Float64() >= secondShare {
		return false
	}
	h.seconds++
	return true
}

// serve answers the requests of one connection, one at a time.
func (h *echoHost) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	for reader := bufio.NewReader(conn); ; {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if q.Method == http.MethodDelete {
			write("HTTP/1.1 204 No Content\r\n\r\n")
			continue
		}
		id := q.Header.Get("X-Txn")
		time.Sleep(secondDecode)
		answer := echoAnswer(id)
		write(answer)
		h.record.addf("decode host %s answered %s", h.addr, id)
		if h.drawSecond() {
			ended := time.Now()
			time.AfterFunc(secondAfter, func() {
				write(answer)
				h.record.addf("decode host %s answered %s once more, %.1f ms after", h.addr, id, time.Since(ended).Seconds()*1000)
			})
		}
	}
}

// echoAnswer returns a stream of two events, whole in itself, that names the request that it answers.
func echoAnswer(id string) string {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, event := range []string{
		fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"for %s\"},\"finish_reason\":\"stop\"}]}\n\n", id),
		"data: [DONE]\n\n",
	} {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

// playSecond has one in ten answers of the decode hosts followed by a second one. No client may get an answer that was made
// for another request.
func playSecond(l *lab) (broken bool, err error) {
	var entries []map[string]any
	for i := range 2 {
		h, err := startModelHost(l.record, fmt.Sprintf("s-%d", i+1), "prefill", "a")
		if err != nil {
			return false, cannotRun(err)
		}
		h.readTime = 20 * time.Millisecond
		entries = append(entries, h.entry())
	}
	var echoes []*echoHost
	for i := range 2 {
		h, err := startEchoHost(l.record, int64(i+1), l.trouble)
		if err != nil {
			return false, cannotRun(err)
		}
		echoes = append(echoes, h)
		entries = append(entries, (&modelHost{id: fmt.Sprintf("s-%d", i+3), role: "decode", zone: "a", addr: h.addr}).entry())
	}
	list, err := json.Marshal(map[string]any{"version": 1, "full": true, "servers": entries})
	if err != nil {
		return false, cannotRun(err)
	}
	d, err := startNodeFor(l, list)
	defer d.kill()
	if err != nil {
		return false, cannotRun(err)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses, foreign := map[int]int{}, 0
	random := rand.New(rand.NewSource(3))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for i, end := 0, time.Now().Add(secondFor); time.Now().Before(end); i++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / secondRate))
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xdef000000+i)
			status, body := platformCall(client, d.addr, id, "key-"+id, "reminder", 3500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if status == http.StatusOK && !strings.Contains(body, "for "+id) {
				foreign++
				l.record.addf("FOREIGN: call %s was answered with %.120q", id, body)
			}
		})
	}
	wg.Wait()
	seconds := 0
	for _, h := range echoes {
		seconds += h.seconds
	}
	l.record.sayf("%d second answers, %v after the first; answers by status: %v; %d calls got the answer of ANOTHER",
		seconds, secondAfter, statuses, foreign)
	if d.hasEnded() || statuses[http.StatusOK] < 100 {
		return false, cannotRun(errors.New("the dispatcher has ended or served too little"))
	}
	return foreign > 0, nil
}

// startNodeFor starts `docksail node` with windowSettings and a list of model hosts.
func startNodeFor(l *lab, list []byte) (*dispatcher, error) {
	d := &dispatcher{
		program: l.program, config: filepath.Join(l.folder, "node.json"), log: filepath.Join(l.folder, "docksail.log"),
		record: l.record,
	}
	discovery, err := startRegistry(list)
	if err != nil {
		return d, err
	}
	if d.addr, err = freeAddr(); err != nil {
		return d, err
	}
	config, err := nodeConfigText(d.addr, discovery, list, windowSettings)
	if err != nil {
		return d, err
	}
	if err := os.WriteFile(d.config, config, 0o600); err != nil {
		return d, err
	}
	return d, d.startNode()
}
