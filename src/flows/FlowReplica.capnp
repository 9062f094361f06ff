@0xe5b07d3386c1f42a;

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "/configuration/Configuration.capnp";
$Cxx.namespace("cuminrelay::wire");

struct FlowRecord {
  flow @0 :UInt64;
  backend @1 :Configuration.PackedEndpoint; # 0: the flow is over
}

# See cuminrelay::ReplicaBatch. The lists of buckets share one version each.
struct ReplicaBatch {
  records @0 :List(FlowRecord);
  settled @1 :List(UInt16);
  settledBase @2 :UInt64;
  handedOver @3 :List(UInt16);
  handedOverBase @4 :UInt64;
  wanted @5 :List(UInt16);
}

# Spoken between the entry processes; carries only what no packet has carried.
interface FlowReplica {
  # accepted: false when the receiver has not reached a configuration version that the batch names.
  exchange @0 (sender :Configuration.PackedEndpoint, batch :ReplicaBatch) -> (accepted :Bool);
}
