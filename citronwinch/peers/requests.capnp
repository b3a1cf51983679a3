@0xa91c7be0254d8f33;
# Messages about requests, between agents of a service.

using Steering = import "steering.capnp";

struct RetryRequest {
  flow @0 :Data;
  service @1 :Text;
  request @2 :Steering.RequestMetadata;
  payload @3 :Data;
  tried @4 :List(Text);
}

struct RequestRecord {
  flow @0 :Data;
  requestId @1 :Data;
  state @2 :UInt8;
  remainingMs @3 :UInt32;
  keepMs @4 :UInt32;
  repeatable @5 :Bool;
}

struct RequestRecords {
  agent @0 :Text;
  eraAgeMs @1 :UInt32;
  total @2 :UInt32;
  records @3 :List(RequestRecord);
}

struct RecordsQuery {
  agent @0 :Text;
}

struct RequestsMessage {
  union {
    retry @0 :RetryRequest;
    records @1 :RequestRecords;
    query @2 :RecordsQuery;
  }
}
