package policy

import "slices"

// noCell is an index that stands for no cell.
const noCell = int32(-1)

// cellKey identifies a cell in the fleet. A CellID is unique only within its zone.
type cellKey struct {
	zone ZoneID
	cell CellID
}

// inCellOf reports whether two servers are in the same cell. Other zones may use the same CellID.
func (s *server) inCellOf(other *server) bool { return s.zone == other.zone && s.cell == other.cell }

// cellState describes the servers of one cell, and how its decode capacity relates to its prefill capacity.
type cellState struct {
	id            CellID
	zone          ZoneID
	serverCount   int32              // its servers, including those that are gone
	share         [roleCount]float64 // its servers in service, by role: the number, for Prefill the share of all
	decodeShare   float64            // its share of all decode and mixed servers in service
	localCapacity float64            // share of its prefill servers' requests that its own decode servers can answer
	link          concurrencyLimit   // limit on this dispatcher's transfers from its prefill servers to other cells
	zoneCapacity  float64            // share of the other requests that the decode servers of its zone can answer
	spareCapacity [2]float64         // share of its decode servers that is spare for its zone, and for other zones
}

func (c *cellState) key() cellKey { return cellKey{c.zone, c.id} }

// zoneState sums up, over the cells of a zone, the decode capacity that is missing and that is spare.
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

// join assigns a server to a cell. A new cell reuses the index of a cell without servers.
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

// allocateCell returns the index for a new cell: that of a cell without servers, or a new one.
func (l *localityIndex) allocateCell() int32 {
	i := slices.IndexFunc(l.cells, func(c cellState) bool { return c.serverCount == 0 })
	if i < 0 {
		l.cells = append(l.cells, cellState{})
		return int32(len(l.cells) - 1)
	}
	delete(l.index, l.cells[i].key())
	return int32(i)
}

// leave removes a server from its cell.
func (l *localityIndex) leave(srv *server) {
	if srv.cellIndex != noCell {
		l.cells[srv.cellIndex].serverCount--
		srv.cellIndex = noCell
	}
}

// normalize computes the prefill and decode shares of the cells from their numbers of servers, and sums up the missing
// and the spare decode capacity of each zone.
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

// computeCapacities computes, from the shares of servers in service, which share of the requests of a cell's prefill
// servers its own decode servers, or those of its zone, can answer, and which share of its decode servers is spare. It
// assumes that all servers of a role have the same capacity.
func (l *localityIndex) computeCapacities() {
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
