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
  configVersion @1 :UInt64; # highest version in force in the sender's entry process
  reports @2 :List(Backends.BackendReport); # the sender's own probe results since its last heartbeat to this peer
  zoneVersions @3 :List(ZoneSummary); # only changes; from readers, or with gossip from all members
  sequence @4 :UInt64; # increases with each heartbeat of the sender
  flows @5 :UInt64; # number held by the sender's entry process
  exceptions @6 :UInt64;
  passedReports @7 :List(Backends.BackendReport); # reports of other members of the zone; only with gossip
  passedProbers @8 :List(Configuration.PackedEndpoint); # the prober of each entry of passedReports
  viewDigest @9 :UInt64; # of the members reachable in the sender's view
  closing @10 :Bool; # the sender switches to another member; missing heartbeats are no failure
}

# The latest state of a member, received directly or through other members.
struct MemberNews {
  member @0 :Member;
  sequence @1 :UInt64; # of the member's heartbeat with this state
  configVersion @2 :UInt64;
  flows @3 :UInt64;
  exceptions @4 :UInt64;
}

# Changes of members: to readers of other zones, of the sender's zone; within the sender's zone, of all zones.
struct ZoneSummary {
  zone @0 :Text;
  members @1 :List(MemberNews);
  lowestConfigVersion @2 :UInt64;
  ageMilliseconds @3 :UInt32; # since the last heartbeat received directly from a member of the zone
}

# Served by control processes to each other.
interface ControlPeer {
  beat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  fetchConfiguration @1 (known :UInt64) -> (update :Configuration.ConfigurationUpdate); # known: the client's version
}
