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
  passedReports @7 :List(Backends.BackendReport); # what other members of the zone probed; only where reports are passed on
  passedProbers @8 :List(Configuration.PackedEndpoint); # who probed; one for each of passedReports
  viewDigest @9 :UInt64; # of the members that the sender takes for reachable
  closing @10 :Bool; # the sender goes on to another member: its silence from here on means nothing
}

# What was last heard of a member, straight from it or from others.
struct MemberNews {
  member @0 :Member;
  sequence @1 :UInt64; # of the member's heartbeat that the news stem from
  configVersion @2 :UInt64;
  flows @3 :UInt64;
  exceptions @4 :UInt64;
}

# What is said of a zone: by its reader to readers of other zones, and of all zones within a zone.
struct ZoneSummary {
  zone @0 :Text;
  members @1 :List(MemberNews);
  lowestConfigVersion @2 :UInt64;
  ageMilliseconds @3 :UInt32; # since a member of the zone was last heard of straight
}

# Spoken between the control processes.
interface ControlPeer {
  beat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  fetchConfiguration @1 (known :UInt64) -> (update :Configuration.ConfigurationUpdate);
}
