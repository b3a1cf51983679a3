@0xcdd12a93dbb3f0f7;
# The envelope of every message between the system's own processes. The sequence number
# and the table revision precede the encoded envelope, because they may differ from one
# message to the next while the rest is the same for many packets.

using Load = import "load.capnp";
using Requests = import "requests.capnp";
using Spread = import "spread.capnp";
using Steering = import "steering.capnp";

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  union {
    forward @2 :Steering.Forward;
    hint @3 :Steering.Hint;
    steering @4 :Steering.SteeringMessage;
    requests @5 :Requests.RequestsMessage;
    load @6 :Load.LoadMessage;
    spread @7 :Spread.SpreadMessage;
  }
}
