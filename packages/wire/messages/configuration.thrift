namespace py persimmonferry_wire.generated.configuration

// A section of the document that is new or has other text. Comments and blank lines
// belong to the section that they follow; what precedes the first has an empty header.
struct SectionChange {
  1: string header
  // The section that a new one follows; empty when it is the first.
  2: string after
  3: string text
}

// Leads from one text to another. When whole is set, it is the other text.
struct Delta {
  1: list<string> removed
  2: list<SectionChange> changed
  3: optional string whole
}

struct Change {
  // 0 while the platform has not yet given one.
  1: i64 revision
  2: string change_id
  3: string operator_name
  4: double time_s
  5: string note
  // SHA-256 of the whole text at this revision.
  6: binary digest
  7: Delta delta
}

// Value of the team's document key: the checkpoint that lies in a slot and the changes
// behind it. The platform's revision of the key is the revision of the last change.
struct Head {
  1: i64 base
  2: i32 slot
  3: list<Change> changes
}

// Each past change carries the delta that leads back.
struct Checkpoint {
  1: i64 revision
  2: string text
  3: list<Change> past
}

// From peer to peer: either the changes behind base, or the whole text (zlib).
struct RevisionUpdate {
  1: string team
  2: i64 base
  3: list<Change> changes
  4: optional binary whole
  5: optional Change last
  6: string sender
}

// What the peer has after it took an update, or when it is asked; -1 for another team.
struct RevisionReply {
  1: i64 revision
  2: optional RevisionUpdate update
}

struct RevisionQuery {
  1: string team
  2: i64 revision
  3: string sender
}
