package statusfile

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"docksail/internal/decide/admission"
	"docksail/internal/dispatch"
)

// staleAfter is the age above which a file is marked as stale. A running dispatcher writes the file every second.
const staleAfter = 5 * time.Second

// allTenants is printed as the tenant's name if the configuration has no tenants and all requests belong to one.
const allTenants = "(all)"

// Print writes a summary, a table of the tenants, their rejections and the totals. now is the time from which the age
// of the file is computed.
func (f *File) Print(w io.Writer, now time.Time) {
	f.printSummary(w, now)
	printTenants(w, f.Status.Tenants)
	printRejections(w, f.Status.Tenants)
	counts := &f.Status.Counts
	fmt.Fprintf(w, "%d served, %d rejected, %d failed, %d client disconnects; %d attempts, %d timed out, %d broken\n",
		counts.Served, counts.Rejected, counts.Failed, counts.ClientDisconnects,
		counts.Attempts, counts.TimedOut, counts.Broken)
}

func (f *File) printSummary(w io.Writer, now time.Time) {
	staleNote := ""
	if age := now.Sub(f.WrittenAt).Round(time.Second); age > staleAfter {
		staleNote = fmt.Sprintf("  (%v old: the dispatcher may have ended)", age)
	}
	fmt.Fprintf(w, "%s%s\n%d requests in flight, %d waiting in %d flows, %d connections\n",
		f.WrittenAt.Format(time.TimeOnly), staleNote,
		f.Status.InFlight, f.Status.Waiting, f.Status.Flows, f.Status.ClientConns)
}

func printTenants(w io.Writer, tenants []dispatch.TenantStatus) {
	totalCost := 0.0
	for i := range tenants {
		totalCost += tenants[i].Counts.AdmittedCost
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table,
		"tenant\tweight\twaiting\trunning\tarrived\tadmitted\tshare\tmean wait\tmax wait\treserved\tredeemed\thonored\t")
	for i := range tenants {
		tenant, counts := &tenants[i], &tenants[i].Counts
		meanWait := time.Duration(counts.TotalWait / int64(max(counts.Admitted, 1)))
		fmt.Fprintf(table, "%s\t%g\t%d\t%d\t%d\t%d\t%.1f%%\t%v\t%v\t%d\t%d\t%d\t\n",
			tenantName(tenant), tenant.Weight, tenant.Waiting, tenant.Running, counts.Arrived, counts.Admitted,
			100*counts.AdmittedCost/max(totalCost, 1),
			meanWait.Round(time.Millisecond), time.Duration(counts.MaxWait).Round(time.Millisecond),
			counts.ReservationsGranted, counts.ReservationsRedeemed, counts.ReservationsAdmitted)
	}
	table.Flush()
}

// printRejections writes how many requests of each tenant were rejected, and why.
func printRejections(w io.Writer, tenants []dispatch.TenantStatus) {
	for i := range tenants {
		for verdict, count := range tenants[i].Counts.Rejected {
			if count > 0 {
				fmt.Fprintf(w, "rejected %s: %d, %v\n", tenantName(&tenants[i]), count, admission.Verdict(verdict))
			}
		}
	}
}

func tenantName(tenant *dispatch.TenantStatus) string { return cmp.Or(tenant.Name, allTenants) }
