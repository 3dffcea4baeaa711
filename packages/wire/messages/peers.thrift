namespace py persimmonferry_wire.generated.peers

// What the sender has at one upstream.
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

// From each gateway to each one that uses the same engines: its work at these. A later
// one replaces it.
struct PeerNews {
  1: string sender
  2: i64 incarnation
  3: i64 sequence
  4: list<OwnWork> work
  5: list<NewlyHeld> held
}

// From the one that gives orders for weights to all gateways. A later one replaces it.
struct LoadingNews {
  1: string sender
  // Engines that take no prompts, as they get other weights.
  2: list<string> paused
  // Weights that the sender has seen at engines that got orders from it.
  3: map<string, i32> versions
}

// A part of a prompt that became whole at a store, or was freed there.
struct KeptChange {
  1: string name
  2: i64 tokens
  3: bool is_whole
}

// What the sender heard from a store that it follows.
struct KeptUpdate {
  1: string store
  2: string address
  3: i64 epoch
  // When the store said so, on the clock of engines and stores.
  4: i64 clock_ms
  5: list<KeptChange> changes
}

// From a gateway that follows stores to the others. Lost ones are made up for by lists.
struct KeptNews {
  1: string sender
  2: list<KeptUpdate> updates
}

// What the sender has sent to upstreams since its last PeerNews; told at once.
struct StartedWork {
  1: string sender
  2: i64 incarnation
  // Of that PeerNews.
  3: i64 sequence
  4: list<OwnWork> work
}

// One datagram.
union PeerMessage {
  1: PeerNews work
  2: KeptNews kept
  3: StartedWork started
  4: LoadingNews loading
}
