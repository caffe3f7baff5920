// The protocol between entry VMs. A Datagram that is lost costs freshness or tokens,
// never more. News is a call over TCP.

// How a VM learns what the store holds.
enum Standing {
  LISTENS = 0,
  WATCHES = 1,
  REFUSED = 2,
}

// What a VM tells its peers several times a second.
struct Tell {
  1: string vm,
  2: i64 run,
  3: bool leaving,
  // Of the store, up to which it knows all changes.
  6: i64 revision,
  7: Standing standing,
  // Milliseconds until it tells the receiver again.
  8: i32 interval,
  // Revision of the store at which the configuration in force was written.
  9: i64 configuration,
  // Milliseconds since the store answered a VM that this one knows of.
  10: optional i32 store_age,
}

struct Change {
  1: string key,
  // Not set: the key was removed.
  2: optional binary value,
  3: i64 revision,
}

// All changes of the store after revision `since` up to `until`, but those of the
// configuration, which is named only.
struct Batch {
  1: i64 since,
  2: i64 until,
  3: list<Change> changes,
  // Milliseconds for which upstreams whose entries are gone may come back.
  4: i32 lapse_left,
  // Revision of the newest configuration; 0: none is known.
  5: i64 configuration,
}

// How a configuration is made of another one, or a piece of that.
struct Patch {
  // Revisions of the store at which both were written; 0: `data` is the whole.
  1: i64 revision,
  2: i64 base,
  3: binary data,
  // Of the whole configuration.
  4: binary digest,
  // Which of how many pieces `data` is.
  5: i32 piece,
  6: i32 pieces,
}

// How a change is passed on. The receiver serves the VMs of its region whose hash
// modulo `parts` is `part`; none if `parts` is 0.
struct Spread {
  1: i32 part,
  2: i32 parts,
  // The sender is of another region.
  3: bool is_far,
}

// A VM asks for what it misses.
struct Behind {
  // As in Tell, of the asker.
  1: i64 revision,
  2: i64 configuration,
}

// Answers Behind: what is missed doesn't fit into datagrams and is to be read by a call.
struct Large {
  1: i64 revision,
}

// Asks for tokens of an organisation's allowance.
struct Ask {
  1: string vm,
  2: i64 number,
  3: string organisation,
  4: i32 tokens,
  // The asker holds no part of the allowance.
  5: bool for_callers,
}

// Answers an Ask: these tokens are the asker's now.
struct Loan {
  1: i64 number,
  2: string organisation,
  3: i32 tokens,
  // What the lender has left to lend.
  4: i32 left,
}

// A VM wants a slot of an upstream, from the upstream's home VM.
struct Claim {
  1: string vm,
  2: i64 number,
  // Names the request; the same in all its claims.
  3: i64 ticket,
  4: string upstream,
  // Requests that the VM has there, the wanted one included.
  5: i32 held,
  6: i32 organisation_priority,
  7: i32 route_priority,
  // Milliseconds that the request has waited.
  8: i32 waited,
}

// Answers a Claim.
struct Verdict {
  1: i64 number,
  2: bool granted,
  // Requests that other VMs have there.
  3: i32 others,
  // Requests that wait for the upstream and go first.
  4: i32 ahead,
}

// Requests that a VM has at upstreams, for their home.
struct Counts {
  1: string vm,
  2: map<string, i32> held_by_upstream,
}

// An upstream has a free slot, for a request that waits at this VM.
struct Room {
  1: string upstream,
  2: i32 others,
  3: i64 ticket,
}

// A request waits no more for the upstream, also if it was offered a slot.
struct Decline {
  1: string vm,
  2: string upstream,
  3: i64 ticket,
}

// An upstream has said in an answer that it leaves.
struct Left {
  1: string upstream,
  // Names its run.
  2: double born,
  3: string vm,
}

// A request that has ended upstreams which ran it.
struct Suspect {
  1: string fingerprint,
  2: i32 deaths,
  // Milliseconds that the count stands.
  3: double duration,
}

// One of them is set, and `spread` beside a batch or patch that is passed on.
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
}

struct Item {
  1: string key,
  2: binary value,
  3: i64 revision,
}

// All entries of the store.
struct Snapshot {
  1: list<Item> items,
  // Up to which the items are complete.
  2: i64 revision,
  // As in Batch.
  3: i32 lapse_left,
}

// What the asker misses; nothing is set if it knows all that this VM does.
struct Reading {
  1: optional Batch batch,
  2: optional Patch patch,
  // Set in place of the others if the changes are not known: a Snapshot, compressed.
  3: optional binary snapshot,
}

service News {
  // What is newer than the asker's revision of the store and of its configuration.
  Reading read_since(1: i64 revision, 2: i64 configuration),
}
