namespace py persimmonferry_wire.generated.limits

// A part of a client account's fleet-wide limit, 0 to 1.
struct LimitPart {
  1: string account
  2: double part
}

// From an entry that needs more of a limit to each of the others.
struct LimitAsk {
  1: string asker
  2: i64 sequence
  3: double asked_s
  4: list<LimitPart> wanted
}

// What the asked entry lends; the lease is counted from asked_s at the asker.
struct LimitAnswer {
  1: string lender
  2: i64 sequence
  3: double asked_s
  4: list<LimitPart> lent
}
