@0xe6214f9d07b35ac5;
# Messages about membership and the table, between all processes.

struct InstanceDescription {
  role @0 :UInt8;
  port @1 :UInt16;
  ip @2 :Data;
  availabilityZone @3 :Text;
  region @4 :Text;
}

struct MemberFact {
  name @0 :Text;
  incarnation @1 :UInt64;
  status @2 :UInt8;
  instance @3 :InstanceDescription;
}

struct Probe {
  number @0 :UInt32;
  digest @1 :Data;
  ageMs @2 :UInt32;
  target @3 :Text;
  facts @4 :List(MemberFact);
}

struct ProbeAnswer {
  number @0 :UInt32;
  digest @1 :Data;
  ageMs @2 :UInt32;
  facts @3 :List(MemberFact);
}

struct TablePull {
  sinceRevision @0 :UInt64;
  scope @1 :Text;
  revision @2 :UInt64;
  missing @3 :List(UInt16);
}

struct TableChunk {
  sinceRevision @0 :UInt64;
  revision @1 :UInt64;
  digest @2 :Data;
  scope @3 :Text;
  number @4 :UInt16;
  chunkCount @5 :UInt16;
  data @6 :Data;
}

struct SpreadMessage {
  union {
    probe @0 :Probe;
    probeAnswer @1 :ProbeAnswer;
    tablePull @2 :TablePull;
    tableChunk @3 :TableChunk;
  }
}
