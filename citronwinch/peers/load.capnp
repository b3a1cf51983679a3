@0xd3f0a8b16c2e4417;
# Messages about load, between agents of a service.

struct LoadMessage {
}
