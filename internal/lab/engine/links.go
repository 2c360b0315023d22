package engine

import (
	"context"
	"sync"
	"time"

	"docksail/internal/lab/engine/batchmodel"
)

// Links are the network links for transfers of states between the servers of a scenario: one link per server, and one
// per cell that its servers share for transfers to other cells. Create them with NewLinks.
type Links struct {
	cellFactor float64 // capacity of a cell's link, as a multiple of a server's TransferRate
	zoneFactor float64 // transfer time to another zone, as a multiple of that within a zone

	mu          sync.Mutex
	network     *batchmodel.Network
	startedAt   time.Time
	serverLinks map[int]int    // index of the link in network, by server
	cellLinks   map[string]int // index of the link in network, by zone and cell
	lastID      batchmodel.TransferID
	done        map[batchmodel.TransferID]chan struct{} // closed when the transfer ends
	timer       *time.Timer
}

// NewLinks returns links whose capacity per cell is cellFactor times that of a server, and over which transfers to
// another zone take zoneFactor times as long. The caller must call Close.
func NewLinks(cellFactor, zoneFactor float64) *Links {
	l := &Links{
		cellFactor:  cellFactor,
		zoneFactor:  max(zoneFactor, 1),
		network:     batchmodel.NewNetwork(),
		startedAt:   time.Now(),
		serverLinks: map[int]int{},
		cellLinks:   map[string]int{},
		done:        map[batchmodel.TransferID]chan struct{}{},
	}
	l.timer = time.AfterFunc(time.Hour, l.timerFired)
	return l
}

// Close stops the timer of the links.
func (l *Links) Close() { l.timer.Stop() }

func (l *Links) now() batchmodel.Nanos { return int64(time.Since(l.startedAt)) }

func (l *Links) timerFired() {
	l.mu.Lock()
	l.advance()
	l.mu.Unlock()
}

// advance completes the transfers that are due and sets the timer for the next one. The lock must be held.
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

// linkIndex returns the index of the link of a server or cell, which is added on first use. The lock must be held.
func linkIndex[K comparable](l *Links, indexes map[K]int, key K, tokensPerSecond float64) (int, error) {
	if index, ok := indexes[key]; ok {
		return index, nil
	}
	index, err := l.network.AddLink(tokensPerSecond)
	if err == nil {
		indexes[key] = index
	}
	return index, err
}

// Transfer waits for the duration of the transfer of a state from a server to a server in the given zone and cell. It
// returns the error of the context if that ends first.
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

// start starts a transfer over the link of the server and, if it leaves the cell, over the link of the cell. The lock
// must be held.
func (l *Links) start(from *Spec, tokens int64, zone, cell string, slowdown float64) (batchmodel.TransferID, error) {
	serverLink, err := linkIndex(l, l.serverLinks, from.ID, from.TransferRate)
	if err != nil {
		return 0, err
	}
	path := []int{serverLink}
	if cell != from.Cell || zone != from.Zone {
		cellLink, err := linkIndex(l, l.cellLinks, from.Zone+"/"+from.Cell, from.TransferRate*l.cellFactor)
		if err != nil {
			return 0, err
		}
		path = append(path, cellLink)
	}
	if zone != from.Zone {
		slowdown *= l.zoneFactor
	}
	l.lastID++
	l.advance() // completed transfers must not share the links any longer
	return l.lastID, l.network.Start(l.now(), l.lastID, int(max(tokens, 1)), max(slowdown, 1), path...)
}

// stop cancels a transfer.
func (l *Links) stop(id batchmodel.TransferID) {
	l.mu.Lock()
	l.network.Stop(l.now(), id)
	delete(l.done, id)
	l.advance()
	l.mu.Unlock()
}
