@0xcdd12a93dbb3f0f7;
# What every message between the system's own processes carries.

using Load = import "load.capnp";
using Requests = import "requests.capnp";
using Spread = import "spread.capnp";
using Steering = import "steering.capnp";

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  revision @3 :UInt64;
  union {
    forward @4 :Steering.Forward;
    hint @5 :Steering.Hint;
    steering @6 :Steering.SteeringMessage;
    requests @7 :Requests.RequestsMessage;
    load @8 :Load.LoadMessage;
    spread @9 :Spread.SpreadMessage;
  }
}
