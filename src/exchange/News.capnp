@0xd3a19e4c7b52f086;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminrelay::wire");

# What one entry VM knows of the store, for another that asks what is new since the state that it knows.
struct News {
  backendsRevision @0 :UInt64;
  complete @1 :Bool; # backends holds all of them; otherwise what has changed
  backends @2 :List(Backend);
  withdrawn @3 :List(UInt64); # identities
  declarationsRevision @4 :UInt64;
  declarations @5 :Declarations; # absent when they are not newer
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
}

struct Label {
  key @0 :Text;
  value @1 :Text;
}

struct Declarations {
  version @0 :UInt64;
  silenceLimitMs @1 :UInt64;
  complete @2 :Bool; # services holds all of them; otherwise what has changed
  services @3 :List(Service);
  removed @4 :List(Text); # names of services
  selectors @5 :List(Text); # that services refer to
  healthChecks @6 :List(HealthCheck);
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
