package admission

import (
	"errors"
	"testing"
)

// TestSetTenantErrors checks that SetTenant rejects invalid limits and numbers, changes nothing then, and wraps the
// error of the limits with the tenant's number.
func TestSetTenantErrors(t *testing.T) {
	q := newQueue(t, 10, TenantLimits{Weight: 2})
	for _, limits := range []TenantLimits{{}, {Weight: 1, RequestsPerSecond: -1}, {Weight: 1, MaxRunning: -1}} {
		err, cause := q.SetTenant(0, limits), limits.Validate()
		if err == nil || cause == nil || err.Error() != "tenant 0: "+cause.Error() {
			t.Errorf("limits %+v: error %v, want that of the limits, %v, after the tenant's number", limits, err, cause)
			continue
		}
		if wrapped := errors.Unwrap(err); wrapped == nil || wrapped.Error() != cause.Error() {
			t.Errorf("limits %+v: the error wraps %v, want %v", limits, wrapped, cause)
		}
	}
	for _, number := range []int{-1, 2} {
		if q.SetTenant(number, TenantLimits{Weight: 1}) == nil {
			t.Errorf("tenant %d is accepted after one tenant", number)
		}
	}
	if got := q.interactive.tenants[0].TenantLimits; got != (TenantLimits{Weight: 2}) {
		t.Errorf("limits %+v after errors, want them unchanged", got)
	}
}
