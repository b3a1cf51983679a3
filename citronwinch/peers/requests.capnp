@0xa91c7be0254d8f33;
# Messages about requests, between agents of a service.

struct RequestsMessage {
}
