# Where things are installed, and the Debian package that "cpack -G DEB" makes in the build folder.
include(GNUInstallDirs)
install(FILES packaging/cuminrelay-entry.service packaging/cuminrelay-control.service DESTINATION lib/systemd/system)
install(DIRECTORY docs/ DESTINATION ${CMAKE_INSTALL_DOCDIR} FILES_MATCHING PATTERN "*.md")

set(CPACK_GENERATOR DEB)
set(CPACK_PACKAGE_NAME cuminrelay)
set(CPACK_PACKAGE_CONTACT "cuminrelay maintainers <maintainers@cuminrelay.example>")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY "Layer-4 load balancer driven by labels and selectors")
set(CPACK_PACKAGING_INSTALL_PREFIX /usr)
set(CPACK_DEBIAN_FILE_NAME DEB-DEFAULT)
set(CPACK_DEBIAN_PACKAGE_SECTION net)
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
set(CPACK_STRIP_FILES ON)
set(CPACK_DEBIAN_PACKAGE_CONTROL_EXTRA ${CMAKE_SOURCE_DIR}/packaging/postinst)
include(CPack)

add_test(NAME package COMMAND ${CMAKE_SOURCE_DIR}/packaging/PackageTest.sh ${CMAKE_BINARY_DIR})
add_test(NAME operating_page COMMAND ${CMAKE_SOURCE_DIR}/tools/check-docs)
