# Debian's package configuration asks for libatomic as a library of its own, which g++ alone does not show; the
# libraries are therefore found one by one.
foreach(library capnp-rpc capnp kj-async kj)
  find_library(CAPNP_LIBRARY_${library} ${library} REQUIRED)
endforeach()

add_library(CapnProto::capnp INTERFACE IMPORTED)
target_link_libraries(CapnProto::capnp INTERFACE ${CAPNP_LIBRARY_capnp} ${CAPNP_LIBRARY_kj})
add_library(CapnProto::capnp-rpc INTERFACE IMPORTED)
target_link_libraries(CapnProto::capnp-rpc INTERFACE ${CAPNP_LIBRARY_capnp-rpc} ${CAPNP_LIBRARY_kj-async}
  CapnProto::capnp)
