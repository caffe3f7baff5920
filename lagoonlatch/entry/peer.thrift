// The protocol between entry VMs. Tell, Ask and Loan are single datagrams; a lost one
// costs freshness or tokens, never more. News is a call over TCP.

// What a VM tells its peers several times a second.
struct Tell {
  1: string vm,
  2: i64 run,
  3: bool leaving,
  // Requests that this VM has at each upstream; those with none are left out.
  4: map<string, i16> in_flight_by_upstream,
  // Whole tokens that it could lend, by organisation; those with none are left out.
  5: map<string, i32> spare_by_organisation,
}

// Asks for tokens of an organisation's allowance.
struct Ask {
  1: string vm,
  2: i64 number,
  3: string organisation,
  4: i32 tokens,
}

// Answers an Ask: these tokens are the asker's now.
struct Loan {
  1: i64 number,
  2: string organisation,
  3: i32 tokens,
}

// A request that has ended upstreams which ran it.
struct Suspect {
  1: string fingerprint,
  2: i32 deaths,
  // Milliseconds that the count stands.
  3: double duration,
}

// One of them is set.
struct Datagram {
  1: optional Tell tell,
  2: optional Ask ask,
  3: optional Loan loan,
  4: optional Suspect suspect,
}

struct Item {
  1: string key,
  2: binary value,
  3: i64 revision,
}

struct Reading {
  // Of the store, up to which the items are complete; 0: nothing newer than asked for.
  1: i64 revision,
  2: list<Item> items,
}

service News {
  // All items, if the answering VM follows the store and is past `revision`.
  Reading read_since(1: i64 revision),
}
