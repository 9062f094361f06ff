@0xb8f6c2d1907a4e33;

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "/configuration/Configuration.capnp";
$Cxx.namespace("cuminrelay::wire");

struct BackendReport {
  backend @0 :Configuration.PackedEndpoint;
  health @1 :UInt8; # a BackendHealth
  shedding @2 :Bool;
  connections @3 :UInt32;
  busySlots @4 :UInt16;
  queued @5 :UInt16;
  ageMicroseconds @6 :UInt32; # since the measurement; the clocks of VMs are not comparable
}
