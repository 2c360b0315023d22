package policy

import "slices"

// noCell is the index of no cell.
const noCell = int32(-1)

// cellKey identifies a cell: CellID counts within a zone.
type cellKey struct {
	zone ZoneID
	cell CellID
}

// cellState describes the servers of one cell and how far its decode servers suffice for its prefill servers.
type cellState struct {
	id            CellID
	zone          ZoneID
	serverCount   int32              // servers that belong to it, gone or not
	share         [roleCount]float64 // its part of all servers in service, by role
	decodeShare   float64            // its part of all servers in service that write answers
	localCapacity float64            // part of what its prefill servers read that its own decode servers can answer
	link          concurrencyLimit   // transfers of this dispatcher from its prefill servers to other cells
	zoneCapacity  float64            // part of the rest that the decode servers of its zone can answer
	spareCapacity [2]float64         // part of its decode servers that is left for its zone, and for other zones
}

func (c *cellState) key() cellKey { return cellKey{c.zone, c.id} }

// zoneState is the decode capacity that the cells of a zone lack, and that they have to spare.
type zoneState struct {
	missing, spare float64
}

// localityIndex holds the cells and zones of the fleet.
type localityIndex struct {
	cells []cellState
	index map[cellKey]int32 // index into cells
	zones []zoneState       // by ZoneID
}

func newLocalityIndex() localityIndex { return localityIndex{index: make(map[cellKey]int32)} }

// join makes a server belong to a cell. A new cell takes the place of one without servers.
func (l *localityIndex) join(srv *server, key cellKey) {
	l.leave(srv)
	i, known := l.index[key]
	if !known {
		i = l.allocateCell()
		l.cells[i] = cellState{id: key.cell, zone: key.zone}
		l.index[key] = i
	}
	l.cells[i].serverCount++
	srv.zone, srv.cell, srv.cellIndex = key.zone, key.cell, i
}

// allocateCell returns the index for a new cell: that of a cell without servers, else a new one.
func (l *localityIndex) allocateCell() int32 {
	i := slices.IndexFunc(l.cells, func(c cellState) bool { return c.serverCount == 0 })
	if i < 0 {
		l.cells = append(l.cells, cellState{})
		return int32(len(l.cells) - 1)
	}
	delete(l.index, l.cells[i].key())
	return int32(i)
}

// leave makes a server belong to no cell.
func (l *localityIndex) leave(srv *server) {
	if srv.cellIndex != noCell {
		l.cells[srv.cellIndex].serverCount--
		srv.cellIndex = noCell
	}
}

// normalize turns the counts of servers in the cells into parts of all servers, and adds up what the cells of each
// zone lack and have to spare.
func (l *localityIndex) normalize(counts *serverCounts) {
	for i := range l.zones {
		l.zones[i] = zoneState{}
	}
	for i := range l.cells {
		c := &l.cells[i]
		c.decodeShare = (c.share[Decode] + c.share[Mixed]) / max(counts.serving[Decode]+counts.serving[Mixed], 1)
		c.share[Prefill] /= max(counts.serving[Prefill], 1)
		for int(c.zone) >= len(l.zones) {
			l.zones = append(l.zones, zoneState{})
		}
		l.zones[c.zone].missing += max(0, c.share[Prefill]-c.decodeShare)
		l.zones[c.zone].spare += max(0, c.decodeShare-c.share[Prefill])
	}
}

// shareCapacity computes from the servers in service how much of what a cell's prefill servers read its own decode
// servers, or those of its zone, can answer, if all servers of a role are alike; and how much decode capacity it has
// left for others.
func (l *localityIndex) shareCapacity() {
	for i := range l.cells {
		c := &l.cells[i]
		z := &l.zones[c.zone]
		c.localCapacity = min(1, c.decodeShare/max(c.share[Prefill], 1e-9))
		c.zoneCapacity = min(1, z.spare/max(z.missing, 1e-9))
		c.spareCapacity = [2]float64{}
		if c.decodeShare > 0 {
			c.spareCapacity[0] = max(0, 1-c.share[Prefill]/c.decodeShare)
			c.spareCapacity[1] = c.spareCapacity[0] * max(0, 1-z.missing/max(z.spare, 1e-9))
		}
	}
}
