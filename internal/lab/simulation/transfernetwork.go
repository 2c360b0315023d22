package simulation

import (
	"docksail/internal/eventloop"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/engine/batchmodel"
)

// transferNetwork transfers KV states between the servers of a simulation. Transfers share the links of the sending
// servers and cells.
type transferNetwork struct {
	loop        *eventloop.Loop
	model       *batchmodel.Network
	serverLinks map[int]int    // link of each sending server, by server number
	cellLinks   map[string]int // link of each sending cell, by zone and cell
	lastID      batchmodel.TransferID
	onDone      map[batchmodel.TransferID]func()
	timer       eventloop.Timer
	ended       []batchmodel.TransferID // reused buffer
}

func newTransferNetwork(loop *eventloop.Loop) *transferNetwork {
	return &transferNetwork{
		loop:        loop,
		model:       batchmodel.NewNetwork(),
		serverLinks: map[int]int{},
		cellLinks:   map[string]int{},
		onDone:      map[batchmodel.TransferID]func(){},
	}
}

func (t *transferNetwork) now() eventloop.Nanos { return t.loop.ReadClock() }

// start starts the transfer of a state. At its end it calls done on the loop of the network.
func (t *transferNetwork) start(
	from, to *modelServer, tokens int, slowdown float64, done func(),
) batchmodel.TransferID {
	links := t.links(from, to)
	if from.spec.Zone != to.spec.Zone {
		slowdown *= engine.CrossZoneFactor
	}
	t.advance()
	t.lastID++
	t.onDone[t.lastID] = done
	if err := t.model.Start(t.now(), t.lastID, max(tokens, 1), slowdown, links...); err != nil {
		panic(err) // the links exist, and the other arguments are positive
	}
	t.advance()
	return t.lastID
}

// links returns the links of a transfer: that of the sender and, unless both servers are in the same cell, that of the
// sender's cell.
func (t *transferNetwork) links(from, to *modelServer) []int {
	if _, ok := t.serverLinks[from.spec.ID]; !ok {
		t.serverLinks[from.spec.ID] = t.addLink(from.spec.TransferRate)
	}
	links := []int{t.serverLinks[from.spec.ID]}
	if from.spec.Cell != to.spec.Cell || from.spec.Zone != to.spec.Zone {
		cell := from.spec.Zone + "/" + from.spec.Cell
		if _, ok := t.cellLinks[cell]; !ok {
			t.cellLinks[cell] = t.addLink(from.spec.TransferRate * engine.CellLinkFactor)
		}
		links = append(links, t.cellLinks[cell])
	}
	return links
}

func (t *transferNetwork) addLink(rate float64) int {
	link, err := t.model.AddLink(rate)
	if err != nil {
		panic(err) // a rate of the script is not positive
	}
	return link
}

// stop ends a transfer without calling its done function.
func (t *transferNetwork) stop(id batchmodel.TransferID) {
	delete(t.onDone, id)
	t.model.Stop(t.now(), id)
	t.advance()
}

// advance completes the transfers that have ended and sets the timer for the next end.
func (t *transferNetwork) advance() {
	t.ended = t.model.AdvanceTo(t.now(), t.ended[:0])
	for _, id := range t.ended {
		if done := t.onDone[id]; done != nil {
			delete(t.onDone, id)
			t.loop.Post(done)
		}
	}
	if at, ok := t.model.NextEnd(); ok {
		t.loop.Post(func() {
			t.loop.SetTimer(&t.timer, max(at, t.now()), func(eventloop.Nanos) { t.advance() })
		})
	}
}
