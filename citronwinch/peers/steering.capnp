@0xbf5147cbbecf40c1;
# Messages about flows, between balancers and agents.

struct RequestMetadata {
  kind @0 :UInt8;
  requestId @1 :Data;
  repeatable @2 :Bool;
  remainingMs @3 :UInt32;
  part @4 :UInt16;
  partCount @5 :UInt16;
  ageMs @6 :UInt32;
}

struct Forward {
  flow @0 :Data;
  service @1 :Text;
  packet @2 :Data;
  balancer @3 :Text;
  hops @4 :UInt8;
  opens @5 :Bool;
  pinned @6 :Bool;
  request @7 :RequestMetadata;
}

struct Hint {
  flow @0 :Data;
  owner @1 :Text;
}

struct SteeringMessage {
}
