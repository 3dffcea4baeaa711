namespace py persimmonferry_wire.generated.claims

// Lines are those of the journal (persimmonferry_core.journal).
struct ClaimLine {
  1: binary line
  2: string replaces
}

// Sent by an entry to the entry that should write the partition.
struct CommitRequest {
  1: i32 partition
  2: i64 bucket
  3: list<ClaimLine> claims
  4: list<binary> endings
}

// outcome: 0 placed, 1 no room, 2 expired.
struct PlacementLine {
  1: i32 outcome
  2: binary claim
  3: optional binary ending
}

// One placement for each claim; with failed set, all claims failed.
struct CommitReply {
  1: list<PlacementLine> placements
  2: bool failed
  3: double retry_after_s
}
