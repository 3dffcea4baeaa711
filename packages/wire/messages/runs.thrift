namespace py persimmonferry_wire.generated.runs

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
}

struct EndMark {
  1: string version
  2: i32 total_tokens
  3: i32 prompt_tokens
  4: i32 cached_tokens
  5: string finish_reason
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

struct CallRequest {
  1: string run_id
  2: string service_name
  3: string method
  4: string path
  5: string content_type
  6: binary body
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

// Asks an agent whether it has, or is generating, the answer of a key.
struct AnswerQuery {
  1: string answer_key
}

struct Acknowledgement {
  1: bool known
}

// Asks an agent what it knows of an attempt. state: 0 never seen, 1 running,
// 2 answered (reply holds the answer), 3 not run, 4 outcome unknown.
struct AttemptQuery {
  1: string run_id
}

struct AttemptReply {
  1: i32 state
  2: optional CallReply reply
}
