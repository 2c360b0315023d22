package policy

// ListUpdateStarted reports the start of an update of the endpoint list. A full update lists every server; servers
// that it does not list are gone.
func (r *Router) ListUpdateStarted(full bool) {
	r.listUpdates++
	r.counts.stale = true
	if !full {
		return
	}
	for i := range r.servers {
		if srv := &r.servers[i]; srv.health != Gone {
			srv.health, srv.goneInUpdate = Gone, r.listUpdates
		}
	}
}

// ServerListed reports one entry of a list update. startedAt is when the server's process started; 0 means long ago.
func (r *Router) ServerListed(id ServerID, zone ZoneID, kind KindID, cell CellID, health Health, startedAt Nanos) {
	i, known := r.serverIndex[id]
	if !known {
		if health == Gone {
			return
		}
		i = r.allocateServer()
		r.serverIndex[id] = i
		r.servers[i] = server{
			id: id, cellIndex: noCell, load: NoLoadReport,
			byClass: make([]serverClass, len(r.config.Classes)),
		}
	}
	srv := &r.servers[i]
	if health == Gone && srv.health != Gone {
		srv.goneInUpdate = r.listUpdates
	}
	if startedAt > srv.startedAt && known { // a new process: its cache is empty
		r.prefixes.removeServer(i)
		srv.resetHistory()
	}
	srv.health, srv.startedAt = health, max(startedAt, srv.startedAt)
	r.locality.join(srv, cellKey{zone, cell})
	if int(kind) < len(r.config.Roles) {
		srv.role = r.config.Roles[kind]
	}
}

// ListUpdateEnded reports that the list update is complete.
func (r *Router) ListUpdateEnded(now Nanos) { r.review(now) }

// ListUpdateFailed reports that the endpoint list could not be obtained. The router requests it again after a fraction
// of the permitted interval, which leaves time for several retries.
func (r *Router) ListUpdateFailed(now Nanos) {
	r.watching, r.watchAt = false, now+r.config.Discovery.MaxInterval/8
	r.reviewAt = min(r.reviewAt, r.watchAt)
}

// allocateServer returns the index for a new server. It reuses the index of a server that an earlier update reported
// gone and that no request refers to, so that memory does not grow while servers are replaced under new names.
func (r *Router) allocateServer() int32 {
	for i := range r.servers {
		srv, index := &r.servers[i], int32(i)
		gone := srv.health == Gone && srv.goneInUpdate < r.listUpdates
		if !gone || srv.outstanding > 0 || srv.streams > 0 || r.serverInUse(index) {
			continue
		}
		r.prefixes.removeServer(index)
		for k := range r.requests.entries {
			r.requests.entries[k].forgetAvoided(index)
		}
		delete(r.serverIndex, srv.id)
		r.locality.leave(srv)
		return index
	}
	r.servers = append(r.servers, server{})
	return int32(len(r.servers) - 1)
}

// serverInUse reports whether any request refers to a server.
func (r *Router) serverInUse(index int32) bool {
	for i := range r.requests.entries {
		if r.requests.entries[i].refersTo(index) {
			return true
		}
	}
	return false
}
