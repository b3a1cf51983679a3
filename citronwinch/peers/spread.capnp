@0xe6214f9d07b35ac5;
# Messages about membership and the table, between all processes.

struct SpreadMessage {
}
