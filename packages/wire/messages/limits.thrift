namespace py persimmonferry_wire.generated.limits

// A share of a client account's fleet-wide limit, 0 to 1.
struct LimitPart {
  1: string account
  2: double part
}

// Sent by an entry that needs a larger share of a limit to every other entry.
struct LimitAsk {
  1: string asker
  2: i64 sequence
  3: double asked_s
  4: list<LimitPart> wanted
}

// The shares that an entry lends; the loan is counted from asked_s at the borrower.
struct LimitAnswer {
  1: string lender
  2: i64 sequence
  3: double asked_s
  4: list<LimitPart> lent
}
