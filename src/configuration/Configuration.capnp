@0xd3a41f0c6b7e9a21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminrelay::wire");

# An IPv4 address and port in the form of Endpoint::packed.
using PackedEndpoint = UInt64;

struct Label {
  key @0 :Text;
  value @1 :Text;
}

struct Requirement {
  key @0 :Text;
  operator @1 :UInt8;
  values @2 :List(Text);
}

struct BackendServer {
  name @0 :Text;
  zone @1 :Text;
  tunnel @2 :PackedEndpoint;
  report @3 :PackedEndpoint;
  slots @4 :UInt16;
  connectionLimit @5 :UInt32;
  draining @6 :Bool;
  labels @7 :List(Label);
}

struct Service {
  name @0 :Text;
  address @1 :PackedEndpoint;
  protocol @2 :UInt8;
  requirements @3 :List(Requirement);
  labels @4 :List(Label);
}

struct Edit {
  id @0 :Text;
  author @1 :Text;
  summary @2 :Text;
  version @3 :UInt64;
  unixSeconds @4 :Int64;
  touched @5 :List(Text);
}

# The elements changed between two versions. Base 0: the complete configuration.
struct ConfigurationUpdate {
  base @0 :UInt64;
  version @1 :UInt64;
  zones @2 :List(Text);
  changedBackendServers @3 :List(BackendServer);
  removedBackendServers @4 :List(Text);
  changedServices @5 :List(Service);
  removedServices @6 :List(Text);
  newEdits @7 :List(Edit);
}
