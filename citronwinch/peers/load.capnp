@0xd3f0a8b16c2e4417;
# Messages about load, between agents of a service.

struct LoadMessage {
  service @0 :Text;
  flows @1 :UInt32;
  connectionLimit @2 :UInt32;
  inProgress @3 :UInt32;
  latencyMs @4 :UInt32;
  shareThousandths @5 :UInt16;
  state @6 :UInt8;
  ageMs @7 :UInt16;
}
