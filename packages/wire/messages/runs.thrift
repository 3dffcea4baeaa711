namespace py persimmonferry_wire.generated.runs

// keep_free: slots that the run must leave free, negative when it may wait for a slot.
// import_domain: failure domain whose store VMs have the blocks, empty for the agent's.
struct RunRequest {
  1: string run_id
  2: string service_name
  3: string model
  4: string version
  5: string adapter
  6: string prompt
  7: i32 max_tokens
  8: i32 priority
  9: list<string> delivered
  10: list<string> block_names
  11: i32 block_tokens
  12: string answer_key
  13: i32 keep_free
  14: string import_domain
}

struct EndMark {
  1: string version
  2: i32 total_tokens
  3: i32 prompt_tokens
  4: i32 cached_tokens
  5: string finish_reason
  6: i32 imported_blocks
  7: i64 imported_bytes
  8: double import_s
}

struct Failure {
  1: i32 code
  2: string detail
  3: optional double retry_after_s
}

struct RunFrame {
  1: string run_id
  2: i32 first_index
  3: list<string> tokens
  4: optional EndMark end
  5: optional Failure failure
}

// One attempt at a call. The agent admits a run id once, only in the incarnation that
// the claim names, and not after the start deadline (seconds since 1970). An
// idempotent call has no claim and is not subject to these three checks.
struct CallRequest {
  1: string run_id
  2: string service_name
  3: string method
  4: string path
  5: string content_type
  6: binary body
  7: i64 incarnation
  8: double start_deadline_s
  9: bool idempotent
}

struct CallReply {
  1: string run_id
  2: i32 status
  3: string content_type
  4: binary body
  5: optional Failure failure
}

struct CancelRequest {
  1: string run_id
}

// Asks an agent whether it holds or is generating the answer of a key.
struct AnswerQuery {
  1: string answer_key
}

struct Acknowledgement {
  1: bool known
}

// Asks an agent for the state of an attempt: 0 never seen, 1 running, 2 answered (reply
// holds the answer, or is absent when it is no longer held), 3 not run and never will
// be, 4 outcome unknown. With fence set, an attempt that was never seen is refused from
// now on, and the state is 3. An agent whose incarnation is not the requested one
// replies with state 4 and its own incarnation.
struct AttemptQuery {
  1: string run_id
  2: i64 incarnation
  3: double start_deadline_s
  4: bool fence
}

struct AttemptReply {
  1: i32 state
  2: optional CallReply reply
  3: i64 incarnation
}
