package grpcnode

import (
	"encoding/json"
	"testing"

	"docksail/internal/dispatch"
)

// TestStatusFields checks the JSON names and the order of the fields of Status, which other programs read from the
// status file and the log.
func TestStatusFields(t *testing.T) {
	const want = `{"InHand":0,"Clients":0,"Waiting":0,"Flows":0,"Background":0,"BackgroundOut":0,"Spare":0,` +
		`"Counts":{"Requests":0,"Served":0,"Rejected":0,"Failed":0,"ClientsLeft":0,"Refused":0,"Attempts":0,"Cancels":0,` +
		`"TimedOut":0,"Broken":0,"Releases":0,"ReleasesLost":0,"Messages":0,"LateReports":0,"Reports":0,` +
		`"InvalidDecisions":0,"Overdue":0,"Pings":0,"DeadConnections":0},` +
		`"Front":{"Calls":0,"Bad":0,"Overflows":0,` +
		`"Connections":{"Accepted":0,"Full":0,"TooMany":0,"TooFast":0,"Sources":0},"PartialRefused":0},` +
		`"Tenants":[{"Name":"","Weight":0,"Waiting":0,"Running":0,"Counts":{"Arrived":0,"Admitted":0,"Cancelled":0,` +
		`"Refused":[0,0,0,0,0,0,0,0],"Waited":0,"Longest":0,"Cost":0,"Booked":0,"Returned":0,"KeptBookings":0,` +
		`"WithoutBooking":0}}]}`
	got, err := json.Marshal(Status{Tenants: []dispatch.TenantStatus{{}}})
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("status is\n%s\nwant\n%s", got, want)
	}
}
