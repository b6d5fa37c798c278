@0xd3b1f4a6c07e5921;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("clementinefall::membership::wire");

enum State {
  live @0;
  suspect @1;
  leaving @2;
  dead @3;
}

enum Kind {
  ping @0;
  ack @1;
  pingRequest @2;
  relayedAck @3;
  tableRequest @4;
  tablePage @5;
  gossip @6;
}

struct Record {
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  refutations @4 :UInt32;
  state @5 :State;
  # Age of the suspicion, so that all members let it end at about the same time.
  suspectAgeMs @6 :UInt16;
  # Incarnation that this one was seen to replace; 0 when there is none.
  supersedes @7 :UInt64;
}

struct Report {
  newestBundle @0 :UInt64;
  newestDigest @1 :Data;
  actingBundle @2 :UInt64;
  headroom @3 :Data;
  status @4 :Data;
}

struct Message {
  kind @0 :Kind;
  # Counts the messages of one incarnation, so that copies are recognised.
  sequence @1 :UInt64;
  # Random number of a probe; its answer repeats it.
  nonce @2 :UInt64;
  sender @3 :Record;
  report @4 :Report;
  # Member to probe, in a pingRequest only.
  target @5 :Text;
  # Place in the table, ordered by ring position, in tableRequest and tablePage.
  cursor @6 :UInt64;
  hasMore @7 :Bool;
  updates @8 :List(Record);
  # Summary of the sender's table, so that the receiver sees whether it misses records.
  presentMembers @9 :UInt16;
  tableDigest @10 :UInt64;
}
