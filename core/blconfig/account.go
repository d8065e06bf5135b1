package blconfig

import (
	"slices"

	"bergamotlead/core/blvalue"
)

// Account is a client account with its rate limit and permissions.
type Account struct {
	Name blvalue.AccountName
	// Rate is the rate limit in requests per second, summed over all hosts.
	Rate int64
	// Burst is the burst size in requests.
	Burst int64
	// Overdraft is the number of requests beyond rate and burst that a new lead
	// may lend while tokens lent by an earlier lead may still be in use. If it is
	// zero, the new lead lends nothing until those have expired.
	Overdraft  int64
	KeyDigests []string
	Services   []blvalue.ServiceName
	// AnyService allows the account to call every service.
	AnyService bool
	// Rank overrides the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
}

// RateLimited reports whether the account has a rate limit.
func (a Account) RateLimited() bool {
	return a.Rate > 0
}

// MayCall reports whether the account may call the service.
func (a Account) MayCall(service blvalue.ServiceName) bool {
	return a.AnyService || slices.Contains(a.Services, service)
}

func newAccount(d Document, name string) Account {
	account := Account{
		Name:       blvalue.AccountName(name),
		Rate:       d.value(SectionAccounts, name, "rate").Integer,
		Burst:      d.value(SectionAccounts, name, "burst").Integer,
		KeyDigests: d.value(SectionAccounts, name, "key_digests").List,
	}
	for _, service := range d.value(SectionAccounts, name, "services").List {
		account.Services = append(account.Services, blvalue.ServiceName(service))
	}
	return account
}
