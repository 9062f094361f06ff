@0xd3a19e4c7b52f086;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminrelay::wire");

# The part of the store's state that is new to the requesting entry VM.
struct News {
  backendsRevision @0 :UInt64;
  complete @1 :Bool; # backends lists all backend servers; otherwise the changed ones
  backends @2 :List(Backend);
  withdrawn @3 :List(UInt64); # identities of backend servers
  declarationsRevision @4 :UInt64;
  declarations @5 :Declarations; # absent unless newer than the requester's
  backendsEra @6 :UInt32; # era of backendsRevision; 0: the store does not number its eras
  declarationsEra @7 :UInt32;
  unreadable @8 :List(UInt64); # identities of backend servers whose entries the sender cannot read
}

struct Backend {
  identity @0 :UInt64;
  name @1 :Text;
  zone @2 :Text;
  tunnel @3 :UInt64; # packed endpoint
  slots @4 :UInt16;
  draining @5 :Bool;
  labels @6 :List(Label);
  startedAtUnixMs @7 :UInt64;
  warmInMs @8 :UInt32;
  sequence @9 :UInt64; # rises with each write of the entry since the start
}

struct Label {
  key @0 :Text;
  value @1 :Text;
}

struct Declarations {
  version @0 :UInt64;
  silenceLimitMs @1 :UInt64; # idle time-out of flows; 0: not declared
  complete @2 :Bool; # services lists all services; otherwise the changed ones
  services @3 :List(Service);
  removed @4 :List(Text); # names of services
  selectors @5 :List(Text); # referred to by services
  healthChecks @6 :List(HealthCheck);
  warmups @7 :List(Warmup);
}

# What the selected backend servers can take while they are cold.
struct Warmup {
  selector @0 :Text;
  durationMs @1 :UInt32; # 0: not declared
  requestsPerSecond @2 :Float64; # 0: not declared
}

struct HealthCheck {
  selector @0 :Text;
  path @1 :Text;
}

struct Service {
  name @0 :Text;
  address @1 :UInt64; # packed endpoint
  kind @2 :UInt8;
  selectors @3 :List(WeightedSelector);
}

struct WeightedSelector {
  selector @0 :UInt32; # index into the declarations' selectors
  weight @1 :UInt32;
}
