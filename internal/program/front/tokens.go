package front

import (
	"context"
	"net/netip"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/loan"
)

const (
	// nearHolderTimeout and farHolderTimeout bound the wait for a token of the holder in the
	// own region and in another one. Round trips take up to 3 ms and 110 ms.
	nearHolderTimeout = 30 * time.Millisecond
	farHolderTimeout  = 150 * time.Millisecond
)

// holds reports whether this instance holds the concentrated limits of an organisation in
// its region.
func (f *Front) holds(organisation string) bool {
	_, self, _ := f.members.Holder(organisation, f.Identity.Region)
	return self
}

// takeToken takes a token of the organisation's rate limit. It returns the reason of a
// refusal, or none, and how long the caller should wait before it tries again.
func (f *Front) takeToken(ctx context.Context, req *request) (tamarackrun.Reason, time.Duration) {
	if f.limiter.Concentrated(req.organisation) {
		if holder, self, ok := f.members.Holder(req.organisation.Name, f.Identity.Region); ok && !self {
			return f.askHolders(ctx, req, holder)
		}
	}
	admit := f.limiter.Admit
	if req.late {
		admit = f.limiter.AdmitSpare
	}
	admitted, retryAfter := admit(time.Now(), req.organisation)
	if admitted {
		return "", 0
	}
	if f.limiter.Concentrated(req.organisation) {
		if f.limiter.WithinLimit(req.organisation) && f.askOtherRegion(ctx, req) {
			return "", 0
		}
	} else if req.loan = f.loans.Borrow(ctx, req.organisation.Name); req.loan == loan.Granted {
		return "", 0
	}
	return tamarackrun.RateExceeded, min(maxRetryAfter, max(minRetryAfter, retryAfter))
}

// askHolders asks the holder of the region for a token, and that of another region if the
// first does not answer or the organisation is within its limit.
func (f *Front) askHolders(ctx context.Context, req *request, holder netip.AddrPort) (tamarackrun.Reason, time.Duration) {
	if req.loan = f.loans.Ask(ctx, holder, req.organisation.Name, nearHolderTimeout); req.loan == loan.Granted {
		req.lender = holder
		return "", 0
	}
	if (req.loan == loan.Unanswered || f.limiter.WithinLimit(req.organisation)) && f.askOtherRegion(ctx, req) {
		return "", 0
	}
	return tamarackrun.RateExceeded, min(maxRetryAfter, max(minRetryAfter, f.tokenInterval(req)))
}

// tokenInterval returns the time in which a region's part of the organisation's limit grows by
// one token.
func (f *Front) tokenInterval(req *request) time.Duration {
	regions := map[string]bool{}
	for _, region := range f.Identity.Regions {
		regions[region] = true
	}
	return time.Duration(float64(len(regions)) / req.organisation.Rate * float64(time.Second))
}

// askOtherRegion asks the holder of another region for a token.
func (f *Front) askOtherRegion(ctx context.Context, req *request) bool {
	holder, _, ok := f.members.Holder(req.organisation.Name, f.members.OtherRegion())
	if !ok {
		return false
	}
	if req.loan = f.loans.Ask(ctx, holder, req.organisation.Name, farHolderTimeout); req.loan != loan.Granted {
		return false
	}
	req.lender = holder
	return true
}

// returnToken gives back the token of a request that did not run.
func (f *Front) returnToken(req *request) {
	if req.lender.IsValid() {
		f.loans.GiveBack(req.lender, req.organisation.Name)
		return
	}
	f.limiter.Return(time.Now(), req.organisation.Name)
}

// lend takes a token for another instance and reports whether there was one. For the other
// instances, the holder of a concentrated limit counts their requests as its own.
func (f *Front) lend(name string) bool {
	if c := f.snapshot.Load(); c != nil {
		if organisation, ok := c.Organisations[name]; ok && f.limiter.Concentrated(organisation) {
			if !f.holds(name) {
				return false
			}
			admitted, _ := f.limiter.Admit(time.Now(), organisation)
			return admitted
		}
	}
	return f.limiter.Lend(time.Now(), name)
}
