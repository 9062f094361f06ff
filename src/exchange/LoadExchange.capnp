@0xb7d0c3a5e1924f68;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminrelay::wire");

# Backend server load and store versions that one entry VM sends to another, in one UDP datagram.
struct LoadMessage {
  zone @0 :UInt32; # hash of the sender's zone
  leaving @1 :Bool;
  loads @2 :List(BackendLoad);
  peers @3 :List(Peer); # some VMs that are peers of the sender
  reading @4 :Bool; # the sender follows the store and is in contact with it
  backendsRevision @5 :UInt64;
  declarationsVersion @6 :UInt64;
  dead @7 :List(UInt32); # tokens of backend servers that the sender found dead
  contestedFlows @9 :List(ContestedFlow);
  stateAgeMs @8 :UInt32 = 0xffffffff; # time since the store is known to have held these versions; default: unknown
  backendsEra @10 :UInt32; # era of backendsRevision; 0: the store does not number its eras
  evacuationsRevision @11 :UInt64; # 0: the sender does not know the evacuations
  evacuationsEra @12 :UInt32;
  evacuatedZones @13 :List(UInt32); # hashes of all evacuated zones as of evacuationsRevision
  retainedZones @14 :List(UInt32); # evacuated before a restore of the store, whose copy does not name them
  retainedMs @15 :UInt16; # how long they stay evacuated
  contestedAgesMs @16 :List(UInt16); # of contestedFlows, since they were recorded, rounded up
  contestedKnownMs @17 :UInt16; # the sender knows all contested flows opened within this time; 65535: or longer
  notice @18 :Bool; # only contested flows, sent outside the schedule: the loads of the sender's last message hold
  questions @19 :List(UInt64); # hashes of flows that the sender cannot locate; the receiver answers with a notice
}

struct BackendLoad {
  token @0 :UInt32;
  activeRequests @1 :UInt16;
  longFlows @2 :UInt16;
}

# Flow whose opening packet may have reached several backend servers.
struct ContestedFlow {
  flow @0 :UInt64; # hash of the flow's key
  token @1 :UInt32; # of the backend server where it is open; 0: not known yet
  openingSequence @2 :UInt32;
}

# All contested flows that an entry VM knows, for one that has just started.
struct ContestedFlows {
  flows @0 :List(ContestedFlow);
  agesMs @1 :List(UInt16); # of flows, since they were recorded, rounded up
  knownMs @2 :UInt16; # as LoadMessage.contestedKnownMs
}

struct Peer {
  exchange @0 :UInt64; # packed endpoint
  zone @1 :UInt32;
}
