@0xa1c59e70f24b8d17;

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "/configuration/Configuration.capnp";
using Backends = import "/backends/Backends.capnp";
$Cxx.namespace("cuminrelay::wire");

struct Member {
  peers @0 :Configuration.PackedEndpoint;
  replica @1 :Configuration.PackedEndpoint;
  control @2 :Configuration.PackedEndpoint;
  name @3 :Text;
  zone @4 :Text;
  incarnation @5 :UInt64;
  state @6 :UInt8;
}

struct Heartbeat {
  sender @0 :Member;
  configVersion @1 :UInt64; # the highest that the sender's entry process has in force
  reports @2 :List(Backends.BackendReport); # what the sender itself probed since its last heartbeat to this peer
  zoneVersions @3 :List(ZoneSummary); # only from zone readers, and only what changed
  sequence @4 :UInt64; # grows with each heartbeat of the sender
  flows @5 :UInt64; # held by the sender's entry process
  exceptions @6 :UInt64;
}

# What a zone reader says of its zone to readers of other zones.
struct ZoneSummary {
  zone @0 :Text;
  members @1 :List(Member);
  lowestConfigVersion @2 :UInt64;
}

# Spoken between the control processes.
interface ControlPeer {
  beat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  fetchConfiguration @1 (known :UInt64) -> (update :Configuration.ConfigurationUpdate);
}
