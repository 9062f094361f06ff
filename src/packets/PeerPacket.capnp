@0xc94e2b71d5086fa3;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminrelay::wire");

# A caller's packet that one entry VM forwards to another in one UDP datagram.
struct PeerPacket {
  arrival @0 :UInt8; # a value of Arrival, never Fabric
  hops @1 :UInt8;
  backend @2 :UInt64; # the owner's choice, as a packed endpoint; only with Arrival::Record
  packet @3 :Data; # the caller's IPv4 packet
}
