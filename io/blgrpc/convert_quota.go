package blgrpc

import (
	"bergamotlead/core/blquota"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
)

func needsToProto(needs []blquota.Need) []*blproto.Need {
	list := make([]*blproto.Need, 0, len(needs))
	for _, need := range needs {
		list = append(list, &blproto.Need{
			Account: string(need.Account), Spent: need.Spent, Returned: need.Returned, Wanted: need.Wanted,
		})
	}
	return list
}

func needsFromProto(needs []*blproto.Need) []blquota.Need {
	list := make([]blquota.Need, 0, len(needs))
	for _, need := range needs {
		list = append(list, blquota.Need{
			Account: blvalue.AccountName(need.GetAccount()), Spent: need.GetSpent(),
			Returned: need.GetReturned(), Wanted: need.GetWanted(),
		})
	}
	return list
}

func loansToProto(loans []blquota.Loan) []*blproto.Loan {
	list := make([]*blproto.Loan, 0, len(loans))
	for _, loan := range loans {
		list = append(list, &blproto.Loan{
			Account: string(loan.Account), Tokens: loan.Tokens, RetryAfterMs: milliseconds(loan.RetryAfter),
		})
	}
	return list
}

func loansFromProto(loans []*blproto.Loan) []blquota.Loan {
	list := make([]blquota.Loan, 0, len(loans))
	for _, loan := range loans {
		list = append(list, blquota.Loan{
			Account: blvalue.AccountName(loan.GetAccount()), Tokens: loan.GetTokens(),
			RetryAfter: duration(loan.GetRetryAfterMs()),
		})
	}
	return list
}
