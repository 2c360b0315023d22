package soak

import (
	"encoding/json"
	"fmt"
	"net"
)

// reportKind is the kind of event that a model server's process reports.
type reportKind string

const (
	reportAttemptReceived reportKind = "arrived"
	reportPrefillFinished reportKind = "read"
	reportAttemptFinished reportKind = "over"
	reportStateFetched    reportKind = "fetch"
	reportReleaseReceived reportKind = "released"
)

// report is what a model server's process sends to the process that runs the soak. The reply is the same report with
// Plan, Held or Status filled in.
type report struct {
	Kind      reportKind `json:"Op"`
	ID        string     // of the request
	Port      int        // local port of the proxy's connection
	At        Instant
	IsPrefill bool   `json:"Read"`
	Outcome   string `json:"How"` // of a finished attempt

	Plan   AttemptPlan // of a received attempt
	Held   bool        // whether a server holds the state to fetch
	Status int         // status with which the server rejects a release; 0 = it accepts it
}

// serveReports serves the connections of model servers until the fleet is closed.
func (f *Fleet) serveReports() {
	for {
		conn, err := f.reports.Accept()
		if err != nil {
			return
		}
		go f.serveReportConn(conn)
	}
}

// serveReportConn answers the reports of one model server, whose first message is its name.
func (f *Fleet) serveReportConn(conn net.Conn) {
	defer conn.Close()
	in, out := json.NewDecoder(conn), json.NewEncoder(conn)
	var server string
	if in.Decode(&server) != nil {
		return
	}
	for {
		var r report
		if in.Decode(&r) != nil {
			return
		}
		f.handleReport(server, &r)
		if out.Encode(r) != nil {
			return
		}
	}
}

// handleReport passes a report to the oracle and fills in the reply.
func (f *Fleet) handleReport(server string, r *report) {
	conn := ConnID{server, r.Port}
	switch r.Kind {
	case reportAttemptReceived:
		f.Oracle.AttemptReceived(r.At, r.ID, r.IsPrefill, conn)
		r.Plan = f.AttemptPlan(r.ID, r.IsPrefill, server)
	case reportPrefillFinished:
		f.Oracle.PrefillFinished(r.At, r.ID, conn)
	case reportAttemptFinished:
		f.Oracle.AttemptFinished(r.At, r.ID, conn, r.Outcome)
	case reportStateFetched:
		r.Held = f.Oracle.FetchState(r.At, r.ID, conn)
	case reportReleaseReceived:
		r.Status = f.ReleaseStatus(r.ID, server)
		if r.Status != 0 {
			f.Oracle.Note(r.At, r.ID, fmt.Sprintf("release rejected by %s: %d", server, r.Status))
			return
		}
		f.Oracle.ReleaseReceived(r.At, r.ID, server)
	}
}
