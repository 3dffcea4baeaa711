namespace py persimmonferry_wire.generated.membership

struct LoadReport {
  1: i32 running
  2: i32 waiting
  3: i32 waiting_prefill_tokens
  4: i32 slots
  5: double prefill_tokens_per_s
  6: double decode_tokens_per_s
}

// Changes of an engine's cache since the last report. reset: discard the state before.
struct CacheReport {
  1: list<string> stored
  2: list<string> removed
  3: bool reset
}

// Sent by an agent to the entries that use it. sequence increases within an incarnation.
struct AgentReport {
  1: string name
  2: i64 incarnation
  3: i64 sequence
  4: string host
  5: i32 port
  6: string failure_domain
  7: string service_name
  14: bool is_model
  8: string model
  9: string version
  10: bool leaving
  11: LoadReport load
  12: i64 configuration_revision
  13: CacheReport cache
}

// interval_s: time between reports that the entry requests of this agent.
struct ReportReply {
  1: i64 configuration_revision
  2: double interval_s
}

// Sent by an entry to an agent that may not have its address; the reply is an
// AgentReport.
struct Introduction {
  1: string host
  2: i32 port
}
