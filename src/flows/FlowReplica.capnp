@0xe5b07d3386c1f42a;

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "/configuration/Configuration.capnp";
$Cxx.namespace("cuminrelay::wire");

struct FlowRecord {
  flow @0 :UInt64;
  backend @1 :Configuration.PackedEndpoint; # 0: the flow has ended
}

# See cuminrelay::ReplicaBatch (settled: m_synchronized, wanted: m_requested). A list's buckets share one base version.
struct ReplicaBatch {
  records @0 :List(FlowRecord);
  settled @1 :List(UInt16);
  settledBase @2 :UInt64;
  handedOver @3 :List(UInt16);
  handedOverBase @4 :UInt64;
  wanted @5 :List(UInt16);
}

# Called between entry processes. Sends only flow state that no packet has carried.
interface FlowReplica {
  # accepted: false when the receiver's configuration is older than a version of the batch.
  exchange @0 (sender :Configuration.PackedEndpoint, batch :ReplicaBatch) -> (accepted :Bool);
}
