namespace py persimmonferry_wire.generated.configuration

// A section of the document that is new or has other text. Comments and blank lines
// belong to the section that they follow; what precedes the first has an empty header.
struct SectionChange {
  1: string header
  // The section that a new one follows; empty when it is the first.
  2: string after
  3: string text
}

// Difference between two texts. When whole is set, it is the complete new text.
struct Delta {
  1: list<string> removed
  2: list<SectionChange> changed
  3: optional string whole
}

struct Change {
  // 0 until the platform has assigned one.
  1: i64 revision
  2: string change_id
  3: string operator_name
  4: double time_s
  5: string note
  // SHA-256 of the whole text at this revision.
  6: binary digest
  7: Delta delta
}

// Value of the team's document key: the slot of the checkpoint and the changes after it.
// The platform's revision of the key is the revision of the last change.
struct Head {
  1: i64 base
  2: i32 slot
  3: list<Change> changes
}

// Each past change carries the delta to the text before it.
struct Checkpoint {
  1: i64 revision
  2: string text
  3: list<Change> past
}

// Sent between peers: either the changes after base, or the complete text (zlib).
struct RevisionUpdate {
  1: string team
  2: i64 base
  3: list<Change> changes
  4: optional binary whole
  5: optional Change last
  6: string sender
}

// The revision that the peer has after an update or at a query; -1 for another team.
struct RevisionReply {
  1: i64 revision
  2: optional RevisionUpdate update
}

struct RevisionQuery {
  1: string team
  2: i64 revision
  3: string sender
}
