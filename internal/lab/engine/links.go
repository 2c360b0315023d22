package engine

import (
	"context"
	"sync"
	"time"

	"docksail/internal/lab/engine/batchmodel"
)

// Links are the links over which states move between the servers of a scenario: the port of each server and one link
// for each cell, which all its servers share. Make them with NewLinks.
type Links struct {
	cellFactor float64 // capacity of a cell's link, in multiples of a server's TransferRate
	zoneFactor float64 // how many times as long a token takes to another zone

	mu      sync.Mutex
	network *batchmodel.Network
	begin   time.Time
	ports   map[int]int    // index of the link, by server
	cells   map[string]int // index of the link, by zone and cell
	lastID  batchmodel.TransferID
	done    map[batchmodel.TransferID]chan struct{} // closed when the transfer ends
	timer   *time.Timer
}

// NewLinks returns links for which a cell's link carries cellFactor times what one server does, and over which a token
// to another zone takes zoneFactor times as long. Close them when they are no longer used.
func NewLinks(cellFactor, zoneFactor float64) *Links {
	l := &Links{
		cellFactor: cellFactor,
		zoneFactor: max(zoneFactor, 1),
		network:    batchmodel.NewNetwork(),
		begin:      time.Now(),
		ports:      map[int]int{},
		cells:      map[string]int{},
		done:       map[batchmodel.TransferID]chan struct{}{},
	}
	l.timer = time.AfterFunc(time.Hour, l.timerFired)
	return l
}

// Close stops the timer of the links.
func (l *Links) Close() { l.timer.Stop() }

func (l *Links) now() batchmodel.Nanos { return int64(time.Since(l.begin)) }

func (l *Links) timerFired() {
	l.mu.Lock()
	l.advance()
	l.mu.Unlock()
}

// advance ends the transfers that are due and sets the timer for the next one. The lock is held.
func (l *Links) advance() {
	for _, id := range l.network.AdvanceTo(l.now(), nil) {
		if done := l.done[id]; done != nil {
			close(done)
			delete(l.done, id)
		}
	}
	if next, ok := l.network.NextEnd(); ok {
		l.timer.Reset(max(time.Duration(next-l.now()), 0))
	}
}

// link returns the index of the link of a server or cell, which is added at its first use. The lock is held.
func link[K comparable](l *Links, indexes map[K]int, key K, tokensPerSecond float64) (int, error) {
	if index, ok := indexes[key]; ok {
		return index, nil
	}
	index, err := l.network.AddLink(tokensPerSecond)
	if err == nil {
		indexes[key] = index
	}
	return index, err
}

// Transfer waits as long as the transfer of a state takes from a server to one in the given zone and cell. It returns
// the error of the context if that ends first.
func (l *Links) Transfer(ctx context.Context, from *Spec, tokens int64, zone, cell string, slowdown float64) error {
	l.mu.Lock()
	id, err := l.start(from, tokens, zone, cell, slowdown)
	if err != nil {
		l.mu.Unlock()
		return err
	}
	done := make(chan struct{})
	l.done[id] = done
	l.advance()
	l.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		l.stop(id)
		return ctx.Err()
	}
}

// start begins a transfer: over the port of the server and, out of its cell, over the link of the cell. The lock is
// held.
func (l *Links) start(from *Spec, tokens int64, zone, cell string, slowdown float64) (batchmodel.TransferID, error) {
	port, err := link(l, l.ports, from.ID, from.TransferRate)
	if err != nil {
		return 0, err
	}
	path := []int{port}
	if cell != from.Cell || zone != from.Zone {
		cellLink, err := link(l, l.cells, from.Zone+"/"+from.Cell, from.TransferRate*l.cellFactor)
		if err != nil {
			return 0, err
		}
		path = append(path, cellLink)
	}
	if zone != from.Zone {
		slowdown *= l.zoneFactor
	}
	l.lastID++
	l.advance() // what has ended must not share the links any more
	return l.lastID, l.network.Start(l.now(), l.lastID, int(max(tokens, 1)), max(slowdown, 1), path...)
}

// stop ends a transfer early.
func (l *Links) stop(id batchmodel.TransferID) {
	l.mu.Lock()
	l.network.Stop(l.now(), id)
	delete(l.done, id)
	l.advance()
	l.mu.Unlock()
}
