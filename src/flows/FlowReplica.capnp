@0xe5b07d3386c1f42a;

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "/configuration/Configuration.capnp";
$Cxx.namespace("cuminrelay::wire");

struct FlowRecord {
  flow @0 :UInt64;
  backend @1 :Configuration.PackedEndpoint; # 0: the flow is over
}

struct BucketBase {
  bucket @0 :UInt16;
  base @1 :UInt64;
}

struct ReplicaBatch {
  records @0 :List(FlowRecord);
  bases @1 :List(BucketBase);
  handedOver @2 :List(BucketBase);
  wanted @3 :List(UInt16);
}

# Spoken between the entry processes; carries only what no packet has carried.
interface FlowReplica {
  exchange @0 (sender :Configuration.PackedEndpoint, batch :ReplicaBatch) -> ();
}
