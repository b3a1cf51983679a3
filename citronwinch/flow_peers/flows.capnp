@0xb7f21d0c55a94e31;
# Messages between balancers and agents that carry flows with opaque bytes.

struct Heartbeat {
  incarnation @0 :UInt64;
  availabilityZone @1 :Text;
  isLeaving @2 :Bool;
  revision @3 :UInt64;
  listingDigest @4 :UInt64;
  listingAgeMs @5 :UInt32;
  configurationVersion @6 :UInt64;
  balancers @7 :List(Text);
  serverStartedMs @8 :UInt64;
  settlesInMs @9 :UInt32;
  configurationRevision @10 :UInt64;
  # The eras of the store to which revision and configurationRevision belong.
  era @11 :UInt32;
  configurationEra @12 :UInt32;
  intervalMs @13 :UInt32;
  evacuations @14 :List(ZoneEvacuation);
  # In heartbeats to an agent: what the listing and the configuration say of its server.
  serverSlots @15 :UInt32;
  serverWarmupLeftMs @16 :UInt32;
  warmupPerS @17 :Float32;
  formerKnownForMs @18 :UInt32;
  uptimeMs @19 :UInt32;
  asksForBalancers @20 :Bool;
  # In heartbeats to an agent: for how long an agent is heard beside its server.
  agentHeardMs @21 :UInt32;
}

struct ZoneEvacuation {
  zone @0 :Text;
  isActive @1 :Bool;
  era @2 :UInt32;
  revision @3 :UInt64;
}

struct LoadReport {
  service @0 :Text;
  openFlows @1 :UInt32;
  waiting @2 :UInt32;
  latencyMs @3 :UInt32;
  acceptsFlows @4 :Bool;
  busyThousandths @5 :UInt16;
  failedThousandths @6 :UInt16;
  endedServerMs @7 :UInt64;
  serviceMs @8 :UInt32;
  queued @9 :UInt32;
  openingRoom @10 :UInt16 = 65535;
  isServerUnreachable @11 :Bool;
}

struct FlowQuestion {
  flow @0 :Data;
  acknowledged @1 :UInt32;
}

struct FlowAnswer {
  flow @0 :Data;
  verdict @1 :UInt8;
  # With an opening that the server has accepted: whether serverFirstSequence is set.
  statesSequence @2 :Bool;
  serverFirstSequence @3 :UInt32;
}

struct FlowQuestions {
  number @0 :UInt32;
  flows @1 :List(Data);
  # One number for each flow.
  acknowledged @2 :List(UInt32);
}

struct FlowAnswers {
  number @0 :UInt32;
  # One byte for each flow of the batch.
  verdicts @1 :Data;
}

struct FlowLocation {
  flow @0 :Data;
  agent @1 :Text;
  service @2 :Text;
}

struct FlowLookup {
  flow @0 :Data;
}

struct ViewOffer {
  configurationVersion @0 :UInt64;
  era @1 :UInt32;
  revision @2 :UInt64;
  listingAgeMs @3 :UInt32;
  evacuations @4 :List(ZoneEvacuation);
}

struct FlowMessage {
  union {
    heartbeat @0 :Heartbeat;
    loadReport @1 :LoadReport;
    question @2 :FlowQuestion;
    answer @3 :FlowAnswer;
    locations @4 :List(FlowLocation);
    lookup @5 :FlowLookup;
    questions @6 :FlowQuestions;
    answers @7 :FlowAnswers;
    viewOffer @8 :ViewOffer;
    knownBalancers @10 :List(Text);
  }
  # With locations: how long the sender has run.
  uptimeMs @9 :UInt32;
}

struct Server {
  name @0 :Text;
  service @1 :Text;
  ip @2 :Text;
  port @3 :UInt16;
  availabilityZone @4 :Text;
  state @5 :UInt8;
  slots @6 :UInt32;
  startedMs @7 :UInt64;
  warmupLeftMs @8 :UInt32;
}

struct ServiceLimits {
  name @0 :Text;
  warmupPerS @1 :Float32;
}

struct Share {
  service @0 :Text;
  weight @1 :UInt32;
}

struct Route {
  name @0 :Text;
  ip @1 :Text;
  port @2 :UInt16;
  shares @3 :List(Share);
  priority @4 :UInt32;
  latencyObjectiveMs @5 :UInt32;
  timeoutMs @6 :UInt32;
  hasLargeRequests @7 :Bool;
}

struct Configuration {
  version @0 :UInt64;
  routes @1 :List(Route);
  flowIdleMs @2 :UInt32;
  services @3 :List(ServiceLimits);
  # Without those that have a route or a limit.
  otherServices @4 :List(Text);
}

struct View {
  revision @0 :UInt64;
  servers @1 :List(Server);
  listingAgeMs @2 :UInt32;
  # A packed Configuration, compressed with zlib; empty when it was not requested.
  configuration @3 :Data;
  retained @4 :List(Server);
  configurationVersion @5 :UInt64;
  configurationRevision @6 :UInt64;
  era @7 :UInt32;
  configurationEra @8 :UInt32;
  # With a base, servers has only the entries that changed since that listing.
  baseDigest @9 :UInt64;
  removed @10 :List(Text);
  # Sent to balancers that have just started.
  former @11 :List(Server);
  # One number for each of them, and for how long all of them are known.
  formerMissingMs @12 :List(UInt32);
  formerKnownForMs @13 :UInt32;
  formerRoutes @14 :List(FormerRoute);
  # For how long the agent of each former server has been silent.
  formerSilentMs @15 :List(UInt32);
  # For how long each change of a route is known.
  routesKnownForMs @16 :UInt32;
}

struct FormerRoute {
  address @0 :Data;
  service @1 :Text;
  changedMs @2 :UInt32;
}
