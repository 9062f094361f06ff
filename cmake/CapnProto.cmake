# Finds each library by itself, because Debian's CMake package of Cap'n Proto requires libatomic as a separate library,
# which CMake does not find with g++ alone.
foreach(library capnp-rpc capnp kj-async kj)
  find_library(CAPNP_LIBRARY_${library} ${library} REQUIRED)
endforeach()

add_library(CapnProto::capnp INTERFACE IMPORTED)
target_link_libraries(CapnProto::capnp INTERFACE ${CAPNP_LIBRARY_capnp} ${CAPNP_LIBRARY_kj})
add_library(CapnProto::capnp-rpc INTERFACE IMPORTED)
target_link_libraries(CapnProto::capnp-rpc INTERFACE ${CAPNP_LIBRARY_capnp-rpc} ${CAPNP_LIBRARY_kj-async}
  CapnProto::capnp)
