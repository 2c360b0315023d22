package engine

import (
	"context"
	"sync"
	"time"

	"docksail/internal/lab/engine/batchmodel"
)

// Links are the ways over which states move between the engines of a day: each host's port and each cell's one link,
// which all its hosts share. Make it with NewLinks.
type Links struct {
	cellFactor float64 // what a cell's link carries, in ports of one of its hosts
	zoneSlower float64

	mu    sync.Mutex
	net   *batchmodel.Network
	begin time.Time
	ports map[int]int
	cells map[string]int
	last  batchmodel.TransferID
	wait  map[batchmodel.TransferID]chan struct{}
	timer *time.Timer
}

// NewLinks makes links of which a cell's carries so many times what one port does, and over which a token to another
// zone takes so many times as long.
func NewLinks(cellFactor, zoneSlower float64) *Links {
	l := &Links{
		cellFactor: cellFactor, zoneSlower: max(zoneSlower, 1), net: batchmodel.NewNetwork(), begin: time.Now(), ports: map[int]int{},
		cells: map[string]int{}, wait: map[batchmodel.TransferID]chan struct{}{},
	}
	l.timer = time.AfterFunc(time.Hour, l.tick)
	return l
}

// Close ends the links' timer.
func (l *Links) Close() { l.timer.Stop() }

func (l *Links) now() batchmodel.Nanos { return int64(time.Since(l.begin)) }

func (l *Links) tick() {
	l.mu.Lock()
	l.settle()
	l.mu.Unlock()
}

// settle tells whose moves have ended and sets the timer for the next. The lock is held.
func (l *Links) settle() {
	for _, id := range l.net.AdvanceTo(l.now(), nil) {
		if ch := l.wait[id]; ch != nil {
			close(ch)
			delete(l.wait, id)
		}
	}
	if at, ok := l.net.NextEnd(); ok {
		l.timer.Reset(max(time.Duration(at-l.now()), 0))
	}
}

// way gives the number of a way, made at its first use. The lock is held.
func way[K comparable](l *Links, of map[K]int, key K, rate float64) (int, error) {
	if w, ok := of[key]; ok {
		return w, nil
	}
	w, err := l.net.AddLink(rate)
	if err == nil {
		of[key] = w
	}
	return w, err
}

// Transfer takes as long as the state of a host takes to one in another place; slow stretches it.
func (l *Links) Transfer(ctx context.Context, from *Spec, tokens int64, zone, cell string, slow float64) error {
	l.mu.Lock()
	port, err := way(l, l.ports, from.ID, from.TransferRate)
	over := []int{port}
	if err == nil && (cell != from.Cell || zone != from.Zone) {
		var link int
		link, err = way(l, l.cells, from.Zone+"/"+from.Cell, from.TransferRate*l.cellFactor)
		over = append(over, link)
	}
	if zone != from.Zone {
		slow *= l.zoneSlower
	}
	l.last++
	id := l.last
	if err == nil {
		l.settle() // what has ended must not share any more
		err = l.net.Start(l.now(), id, int(max(tokens, 1)), max(slow, 1), over...)
	}
	if err != nil {
		l.mu.Unlock()
		return err
	}
	done := make(chan struct{})
	l.wait[id] = done
	l.settle()
	l.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		l.net.Stop(l.now(), id)
		delete(l.wait, id)
		l.settle()
		l.mu.Unlock()
		return ctx.Err()
	}
}
