// The protocol between entry VMs. The loss of a Datagram delays information or wastes
// tokens, and has no other effect. News is called over TCP.

// How a VM learns the contents of the store.
enum Standing {
  LISTENS = 0,
  WATCHES = 1,
  REFUSED = 2,
}

// Heartbeat that a VM sends to its peers several times a second.
struct Tell {
  1: string vm,
  2: i64 run,
  3: bool leaving,
  // Revision of the store up to which the VM knows all changes.
  6: i64 revision,
  7: Standing standing,
  // Milliseconds until the VM sends the next heartbeat to the receiver.
  8: i32 interval,
  // Revision of the store at which the configuration in force was written.
  9: i64 configuration,
  // Milliseconds since the store last answered any VM, as far as the sender knows.
  10: optional i32 store_age,
  // Era of the store to which `revision` belongs; VMs of earlier builds don't set it.
  11: optional i64 era,
  // Version of the configuration in force.
  12: optional i64 version,
  // Demand by service, in hundredths of slots: that of the sender's callers if the
  // receiver is in the same region, else that of the sender's region. Not set: unknown.
  13: optional map<string, i32> demand,
}

struct Change {
  1: string key,
  // Not set: the key was removed.
  2: optional binary value,
  3: i64 revision,
}

// All changes of the store after revision `since` up to `until`, except those of the
// configuration, of which only the revision is given.
struct Batch {
  1: i64 since,
  2: i64 until,
  3: list<Change> changes,
  // Milliseconds for which upstreams whose entries are gone may still return.
  4: i32 lapse_left,
  // Revision of the newest configuration, or 0 if none is known.
  5: i64 configuration,
  // Era of the store to which the revisions belong.
  6: optional i64 era,
  // Version of the newest configuration, or 0 if none is known.
  7: optional i64 version,
}

// Difference between two configurations, or a piece of such a difference.
struct Patch {
  // Revisions of the store at which the new and the base configuration were written,
  // for VMs of earlier builds.
  1: i64 revision,
  2: i64 base,
  3: binary data,
  // Digest of the whole configuration.
  4: binary digest,
  // Index of the piece in `data`, and number of pieces.
  5: i32 piece,
  6: i32 pieces,
  // Versions of the new and the base configuration. If `base_version` is 0, `data` is
  // the whole configuration.
  7: optional i64 version,
  8: optional i64 base_version,
}

// How a change is passed on. The receiver passes it on to the VMs of its region whose
// hash modulo `parts` is `part`, or to no VM if `parts` is 0.
struct Spread {
  1: i32 part,
  2: i32 parts,
  // Whether the sender is in another region.
  3: bool is_far,
}

// Asks for the changes that the sender lacks.
struct Behind {
  // As in Tell, for the sender.
  1: i64 revision,
  2: i64 configuration,
  3: optional i64 era,
  4: optional i64 version,
}

// Answers a Behind if the missing changes don't fit into datagrams and must be read by a
// call.
struct Large {
  1: i64 revision,
}

// Asks for tokens of the allowance of an organisation.
struct Ask {
  1: string vm,
  2: i64 number,
  3: string organisation,
  4: i32 tokens,
  // Whether the asker holds no share of the allowance.
  5: bool for_callers,
}

// Answers an Ask. The tokens now belong to the asker.
struct Loan {
  1: i64 number,
  2: string organisation,
  3: i32 tokens,
  // Number of tokens that the lender can still lend.
  4: i32 left,
}

// A rate limit that a run of an upstream has named.
struct NamedLimit {
  // Requests a second from all VMs together.
  1: double rate,
  // Identifies the run of the upstream.
  2: double born,
  // The home VM's number of the latest naming that it has heard of; 0 if none is known.
  3: i64 epoch,
}

// Asks the home VM of an upstream for one of its slots.
struct Claim {
  1: string vm,
  2: i64 number,
  // Identifies the request in all its claims.
  3: i64 ticket,
  4: string upstream,
  // Number of requests of the VM at the upstream, including the claimed one.
  5: i32 held,
  6: i32 organisation_priority,
  7: i32 route_priority,
  // Milliseconds for which the request has waited.
  8: i32 waited,
  // The rate limit of the upstream, if the VM knows one.
  9: optional NamedLimit limit,
  // Milliseconds since the VM last heard of the limit.
  10: optional i32 limit_age,
}

// Answers a Claim.
struct Verdict {
  1: i64 number,
  2: bool granted,
  // Number of requests of other VMs at the upstream.
  3: i32 others,
  // Number of requests that wait for the upstream and are served before this one.
  4: i32 ahead,
  // The rate limit of the upstream; not set if it has none.
  5: optional NamedLimit limit,
  // Milliseconds until the limit allows the next request.
  6: optional i32 limit_wait,
}

// Reports the numbers of requests of a VM at upstreams to their home VM.
struct Counts {
  1: string vm,
  2: map<string, i32> held_by_upstream,
}

// Offers a free slot of an upstream to a request that waits at the receiver.
struct Room {
  1: string upstream,
  2: i32 others,
  3: i64 ticket,
}

// A request no longer waits for the upstream, even if it was offered a slot.
struct Decline {
  1: string vm,
  2: string upstream,
  3: i64 ticket,
}

// An upstream has stated in an answer that it is leaving.
struct Left {
  1: string upstream,
  // Identifies the run of the upstream.
  2: double born,
  3: string vm,
}

// Reports to the home VM of an upstream that an answer has named a rate limit or, if
// `is_ended` is set, that a newer answer names none. `limit.epoch` was known when the
// answered request was sent.
struct LimitReport {
  1: string upstream,
  2: NamedLimit limit,
  3: bool is_ended,
}

// The crash of one run of an upstream that was running a request.
struct Crash {
  1: string upstream,
  2: double born,
  // Milliseconds since the request was sent and since the crash was noticed.
  3: double sent_age,
  4: double ended_age,
}

// Reports a request that has ended upstreams which ran it.
struct Suspect {
  1: string fingerprint,
  2: i32 deaths,
  // Milliseconds for which the count is valid.
  3: double duration,
  // The crashes that `deaths` counts; a VM of an earlier build sends none.
  4: optional list<Crash> crashes,
  // A request got a whole answer, so that earlier crashes no longer count.
  5: optional bool cleared,
}

// Exactly one field is set, apart from `spread`, which accompanies a batch or patch
// that is passed on.
struct Datagram {
  1: optional Tell tell,
  2: optional Ask ask,
  3: optional Loan loan,
  4: optional Suspect suspect,
  5: optional Batch batch,
  6: optional Claim claim,
  7: optional Verdict verdict,
  8: optional Counts counts,
  9: optional Room room,
  10: optional Decline decline,
  11: optional Patch patch,
  12: optional Behind behind,
  13: optional Large large,
  14: optional Spread spread,
  15: optional Left left,
  16: optional LimitReport limit_report,
}

struct Item {
  1: string key,
  2: binary value,
  3: i64 revision,
}

// All entries of the store.
struct Snapshot {
  1: list<Item> items,
  // Revision up to which the items are complete.
  2: i64 revision,
  // As in Batch.
  3: i32 lapse_left,
  4: optional i64 era,
}

// The changes that the asker lacks. No field is set if it knows all changes that this
// VM knows.
struct Reading {
  1: optional Batch batch,
  2: optional Patch patch,
  // Compressed Snapshot, set instead of the other fields if the changes are not known.
  3: optional binary snapshot,
}

service News {
  // Returns what is newer than the given knowledge, with the fields of Behind.
  Reading read_since(1: i64 revision, 2: i64 configuration, 3: i64 era, 4: i64 version),
}
