// The protocol between the daemons of a fleet. Durations are milliseconds.

struct Stamp {
  1: i64 millis,
  2: i32 counter,
}

// One service's load in one data centre, as its instances' owners count it.
struct LoadSummary {
  1: string service_id,
  2: string data_centre,
  3: i32 slots,
  4: i32 in_flight,
  5: i32 queued,
  6: double latency,
}

// What one VM says of another. `silent`: the sender hears it no more.
struct Member {
  1: string vm,
  2: i64 incarnation,
  3: string address,
  4: string data_centre,
  5: string region,
  6: bool leaving,
  7: bool silent,
}

// Empty fields are left out. A sender that knows that the receiver holds its
// address, data centre and region leaves them out too.
struct Heartbeat {
  1: string vm,
  2: i64 incarnation,
  3: string address,
  4: string data_centre,
  5: Stamp stamp,
  6: i64 config_version,
  7: bool leaving,
  8: map<string, i64> ownership_revision_by_scope,
  9: list<LoadSummary> loads,
  10: string region,
  // Changes of what the sender knows at first hand, up to members_version.
  11: list<Member> members,
  12: i64 members_version,
  // The newest members_version that the sender got from this run of the receiver.
  13: i64 known_version,
  14: i64 known_incarnation,
  // Ask for acquaintances: all VMs the receiver has heard of, as a hint.
  15: bool introduce,
  16: list<Member> acquaintances,
  // Sums over the VMs of a data centre.
  17: list<LoadSummary> data_centre_loads,
  // Age of the newest reading of the store that vouches for config_version.
  19: optional double confirmed_ago,
  // Age of the newest instant at which the sender was in touch with most VMs.
  21: optional double quorum_ago,
  // Of the sender's ownership_revision_by_scope, which is left out if the receiver
  // had the same digest.
  18: i64 ownership_digest,
  // Whether members are all that the sender states, not only changes.
  20: bool members_whole,
}

// What the holder of a lease has done with it so far.
struct Settlement {
  1: i64 request_id,
  2: double spent,
  3: bool closed,
  // How long before sending the last of it was spent, at least.
  4: double age,
}

struct GrantRequest {
  1: string bucket,
  2: string scope,
  3: double wanted,
  4: string vm,
  5: i64 incarnation,
  6: i64 request_id,
  7: double ahead,
  8: bool between_regions,
  9: list<Settlement> settlements,
}

// granted tokens are void `duration` after the request was SENT.
struct GrantReply {
  1: i64 request_id,
  2: double granted,
  3: double duration,
  4: string refusal,
  5: double retry_after,
}

struct ConfigurationReply {
  1: i64 version,
  2: binary document,
}

struct OwnershipReply {
  1: i64 revision,
  2: binary document,
}

enum Outcome {
  ANSWERED = 0,
  NOT_RUN = 1,
  UNKNOWN = 2,
}

struct Header {
  1: string name,
  2: string value,
}

// A request for an instance owned by the receiver; it carries no key.
struct ExecuteRequest {
  1: string request_id,
  2: string organisation,
  3: string service_id,
  4: string upstream,
  5: string method,
  6: string target,
  7: list<Header> headers,
  8: binary body,
  9: double deadline,
  10: bool idempotent,
  11: string move,
  12: string fingerprint,
  // Names this call for `settle`, unique for ever.
  13: string call_id,
}

struct ExecuteReply {
  1: string request_id,
  2: Outcome outcome,
  3: i32 status,
  4: list<Header> headers,
  5: binary body,
  6: string reason,
  7: double retry_after,
  8: bool upstream_died,
  // Requests of the service that run or wait at the answering VM.
  9: i32 load,
}

// A request whose idempotency key belongs to the receiver.
struct RelayRequest {
  1: string request_id,
  2: string organisation,
  3: string service_id,
  4: string method,
  5: string target,
  6: list<Header> headers,
  7: binary body,
  8: double deadline,
  9: string idempotency_key,
  10: i64 incarnation,
  11: string call_id,
}

enum CallState {
  // The call has not run and, arriving late, will not.
  NEVER = 0,
  ENDED = 1,
  UNKNOWN = 2,
  RUNNING = 3,
}

struct SettleRequest {
  1: string call_id,
  // The run of the receiver that the call was sent to.
  2: i64 incarnation,
  // Upper bound of the time from sending the call to the end of waiting for this
  // answer.
  3: double since_sent,
  // How long to wait for the end of a call that runs.
  4: double wait,
}

struct SettleReply {
  1: CallState state,
  2: ExecuteReply reply,
}

struct SuspectReport {
  1: string fingerprint,
  2: i32 deaths,
  3: double duration,
}

struct EventRecord {
  1: Stamp stamp,
  2: string vm,
  3: string kind,
  4: string subject,
  5: map<string, string> detail,
}

service Peer {
  Heartbeat exchange(1: Heartbeat heartbeat),
  GrantReply grant(1: GrantRequest request),
  ConfigurationReply fetch_configuration(1: i64 known_version),
  OwnershipReply fetch_ownership(1: string scope, 2: i64 known_revision),
  ExecuteReply execute(1: ExecuteRequest request),
  ExecuteReply relay(1: RelayRequest request),
  // What became of a call whose connection went silent.
  SettleReply settle(1: SettleRequest request),
  void report_suspect(1: SuspectReport report),
  list<EventRecord> fetch_events(1: Stamp since),
}
