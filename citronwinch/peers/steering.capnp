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
  ends @8 :Bool;
  decider @9 :Text;
  decision @10 :UInt64;
  revision @11 :UInt64;
  declined @12 :List(Text);
}

struct Hint {
  flow @0 :Data;
  owner @1 :Text;
}

struct LeaseRequest {
  service @0 :Text;
  revision @1 :UInt64;
  sentMs @2 :UInt64;
  isLeaving @3 :Bool;
  incarnation @4 :UInt64;
}

struct LeaseAnswer {
  service @0 :Text;
  revision @1 :UInt64;
  sentMs @2 :UInt64;
  isGranted @3 :Bool;
  isComplete @4 :Bool;
  holdsFlows @5 :Bool;
  isLeaving @6 :Bool;
  hasDeparted @7 :Bool;
  silent @8 :List(Text);
  former @9 :List(Text);
  isLearning @10 :Bool;
}

struct Register {
  service @0 :Text;
  number @1 :UInt64;
  flows @2 :Data;       # flow keys, each preceded by its length in one byte
  ended @3 :Data;       # flow keys, encoded like those in flows
}

struct RegisterAck {
  number @0 :UInt64;
}

struct Query {
  service @0 :Text;
  flow @1 :Data;
  revision @2 :UInt64;
}

struct QueryAnswer {
  flow @0 :Data;
  revision @1 :UInt64;
  owner @2 :Text;
  awayMs @3 :UInt32;
}

struct Probe {
  isAnswer @0 :Bool;
}

struct MemberSilent {
  agent @0 :Text;
}

struct Receiver {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct TransferredFlow {
  flow @0 :Data;
  decisionNumber @1 :UInt64;
  localPort @2 :UInt16;
}

struct FlowTransfer {
  agent @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt32;
  ageMs @3 :UInt32;
  service @4 :Text;
  path @5 :Text;
  receivers @6 :List(Receiver);
  part @7 :UInt16;
  partCount @8 :UInt16;
  flows @9 :List(TransferredFlow);
}

struct FlowTransferAck {
  number @0 :UInt32;
  part @1 :UInt16;
  incarnation @2 :UInt64;
}

struct FlowTransferEnd {
  incarnation @0 :UInt64;
  number @1 :UInt32;
  isCommitted @2 :Bool;
}

struct FlowsQuery {
  incarnation @0 :UInt64;
  firstPart @1 :UInt16;
}

struct SteeringMessage {
  union {
    leaseRequest @0 :LeaseRequest;
    leaseAnswer @1 :LeaseAnswer;
    register @2 :Register;
    registerAck @3 :RegisterAck;
    query @4 :Query;
    queryAnswer @5 :QueryAnswer;
    probe @6 :Probe;
    memberSilent @7 :MemberSilent;
    flowTransfer @8 :FlowTransfer;
    flowTransferAck @9 :FlowTransferAck;
    flowTransferEnd @10 :FlowTransferEnd;
    flowsQuery @11 :FlowsQuery;
  }
}
