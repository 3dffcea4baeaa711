namespace py persimmonferry_wire.generated.peers

// The sender's requests in progress at one upstream.
struct OwnWork {
  1: string upstream
  2: i32 runs
  3: i64 memory_tokens
  // Prompt tokens that have to be computed before first tokens, by priority.
  4: map<i32, i64> waiting_tokens
}

// Blocks that an upstream's engine has computed for the sender since its last message.
struct NewlyHeld {
  1: string upstream
  2: list<string> names
  3: list<i64> sizes
}

// What the sender has sent lately to an upstream whose calls are counted by all gateways.
struct SentCalls {
  1: string upstream
  // Time since each of these calls was sent.
  2: list<i32> ages_ms
}

// The sender's calls to upstreams whose calls are counted. A later message replaces the
// calls to each upstream that it names.
struct CallNews {
  // Increases with each message of the sender's process.
  1: i64 stated_ms
  2: list<SentCalls> calls
  // Gateways from which the sender has received nothing lately.
  3: list<string> unheard
}

// Sent by each gateway to every gateway that uses the same engines: its requests in
// progress there. A later message replaces it.
struct PeerNews {
  1: string sender
  2: i64 incarnation
  3: i64 sequence
  4: list<OwnWork> work
  5: list<NewlyHeld> held
  6: optional CallNews sent
}

// Sent by the leader, which orders weights, to all gateways. A later message replaces it.
struct LoadingNews {
  1: string sender
  // Engines that accept no prompts while they are changed to other weights.
  2: list<string> paused
  // Weight versions that the sender has observed at engines that it sent orders to.
  3: map<string, i32> versions
}

// A part of a prompt that was stored completely at a store VM, or freed there.
struct KeptChange {
  1: string name
  2: i64 tokens
  3: bool is_whole
}

// Changes that the sender received from a store VM that it watches.
struct KeptUpdate {
  1: string store
  2: string address
  3: i64 epoch
  // Time of the report, on the clock of engines and store VMs.
  4: i64 clock_ms
  5: list<KeptChange> changes
}

// Sent by a gateway that watches store VMs to the others. A lost message is compensated
// by listing the parts.
struct KeptNews {
  1: string sender
  2: list<KeptUpdate> updates
}

// Requests that the sender has sent to upstreams since its last PeerNews; sent at once.
struct StartedWork {
  1: string sender
  2: i64 incarnation
  // The sequence of that PeerNews.
  3: i64 sequence
  4: list<OwnWork> work
  5: optional CallNews sent
}

// What an upstream's answer stated about the calls that it takes from all gateways.
struct UpstreamLimit {
  1: string upstream
  2: i64 incarnation
  // Time since it was stated.
  3: i64 age_ms
  // Without a value, the upstream has no limit any longer.
  4: optional double calls_per_s
}

// Sent at once by the gateway that received an answer with another limit than before, and
// again while it knows of no newer answer.
struct LimitNews {
  1: string sender
  2: list<UpstreamLimit> limits
}

// An answer that had begun, and was lost before its first content.
struct CrashedPrompt {
  1: string upstream
  2: i64 incarnation
  // Time since it was lost.
  3: i64 age_ms
  // Hashes of the prompt's shared parts.
  4: list<i64> parts
}

// Sent at once to all gateways by the one that observed it; crashes are sent again, as
// datagrams may be lost.
struct CrashNews {
  1: string sender
  2: list<CrashedPrompt> crashes
  // Hashes of quarantined parts with which a prompt has just been answered.
  3: list<i64> sound
}

// A process of an upstream that took a connection.
struct ConnectedUpstream {
  1: string upstream
  // Of the entry by which it was chosen.
  2: i64 incarnation
  // Time since the connection had been made.
  3: i64 age_ms
}

// Where a stream began; only upstreams of that build may continue it.
struct BegunStream {
  // Hash of the call that brought its first event.
  1: i64 stream
  2: string service_name
  3: string build
  // Time until its caller no longer waits for it.
  4: i32 left_ms
  // Has the build, if another process may have sent the first event.
  5: optional ConnectedUpstream start
  // Where it began, if the build is not certain.
  6: optional string gateway
}

// Sent to the gateways that remember a stream when it begins, to one that asks, and by
// one that asks.
struct StreamNews {
  1: string sender
  2: list<BegunStream> begun
  // Streams whose origin the sender asks for.
  3: list<i64> asked
  // Streams that the sender was asked for and does not know.
  4: list<i64> unknown
}

// A refused prompt that was told when to return.
struct PromisedReturn {
  // Hash of the call.
  1: i64 fingerprint
  // Time until it is expected, and until its caller gives up.
  2: i32 due_ms
  3: i32 left_ms
}

// Sent to all gateways by the one that refused the prompts.
struct ReturnNews {
  1: string sender
  2: list<PromisedReturn> returns
}

// A version of a model's weights that is wanted.
struct WantedWeights {
  1: string model
  2: i32 version
  // Time since the earliest moment at which it may have been named.
  3: i64 age_ms
}

// Sent to a few gateways by one that has heard of wanted weights late, and by each of these
// to the address from which it was asked.
struct WeightsNews {
  1: string sender
  // Repeated in the answer.
  2: i64 question
  3: bool is_question
  // All versions of each model that is named; none in a question.
  4: list<WantedWeights> wanted
}

// The entry of an upstream in the registry.
struct KnownUpstream {
  1: string name
  2: string service_name
  3: string address
  4: string failure_domain
  5: i32 slots
  6: bool is_leaving
  7: i64 incarnation
  // Version of the weights of each model.
  8: map<string, i32> weights
  // Version of its software.
  9: string build
}

// Sent to a few gateways by one to which the registry does not respond, and by each of
// these to the address from which it was asked.
struct EntryNews {
  1: string sender
  // Repeated in the answer.
  2: i64 question
  3: bool is_question
  // Whether the sender has read the registry since the question; false in a question.
  4: bool is_present
  // The upstream that is asked for; otherwise some of a build. Empty in an answer.
  5: string upstream
  6: string service_name
  7: string build
  8: list<KnownUpstream> known
}

// One datagram.
union PeerMessage {
  1: PeerNews work
  2: KeptNews kept
  3: StartedWork started
  4: LoadingNews loading
  5: LimitNews limits
  6: CrashNews crashes
  7: StreamNews streams
  8: ReturnNews returns
  9: WeightsNews weights
  10: EntryNews entries
}
