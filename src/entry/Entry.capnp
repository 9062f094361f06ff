@0xf7128ce5a94d3b60;

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "/configuration/Configuration.capnp";
using Backends = import "/backends/Backends.capnp";
using Members = import "/members/Members.capnp";
$Cxx.namespace("cuminrelay::wire");

struct EntryStatus {
  configVersion @0 :UInt64;
  flows @1 :UInt64;
  exceptions @2 :UInt64; # flows that are not on their default backend server
  drained @3 :Bool;
  incarnation @4 :UInt64;
  uptimeMicroseconds @5 :UInt64;
  counters @6 :List(Counter);
  leaving @7 :Bool; # a stop was requested; the handover is in progress
  owning @8 :Bool; # the VM owns flows under the view in force

  struct Counter {
    name @0 :Text;
    reason @1 :Text;
    value @2 :UInt64;
  }
}

# Calls from the control process to the entry process of the same VM.
interface EntryControl {
  installConfigurations @0 (updates :List(Configuration.ConfigurationUpdate)) -> (version :UInt64); # oldest first
  installMembers @1 (members :List(Members.Member)) -> ();
  applyReports @2 (reports :List(Backends.BackendReport)) -> ();
  status @3 () -> (status :EntryStatus);
}
