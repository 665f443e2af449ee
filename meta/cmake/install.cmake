# Installs the coordination parts, which are free of I/O, for others to embed:
# find_package(daleshelf) gives the target daleshelf::coordination.
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(coordination_packages base replay resources membership leases claims
  requests)
add_library(daleshelf_coordination INTERFACE)
set(coordination_targets daleshelf_coordination)
foreach(package ${coordination_packages})
  target_link_libraries(daleshelf_coordination INTERFACE daleshelf_${package})
  list(APPEND coordination_targets daleshelf_${package})
  install(DIRECTORY libraries/${package}
    DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/daleshelf
    FILES_MATCHING PATTERN "*.hpp")
  set_target_properties(daleshelf_${package} PROPERTIES EXPORT_NAME ${package})
endforeach()
set_target_properties(daleshelf_coordination PROPERTIES
  EXPORT_NAME coordination)

install(TARGETS ${coordination_targets} EXPORT daleshelfTargets)
install(EXPORT daleshelfTargets NAMESPACE daleshelf::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/daleshelf)
configure_package_config_file(meta/cmake/daleshelfConfig.cmake.in
  ${CMAKE_BINARY_DIR}/daleshelfConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/daleshelf)
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/daleshelfConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/daleshelfConfig.cmake
  ${CMAKE_BINARY_DIR}/daleshelfConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/daleshelf)
install(TARGETS daleshelfd daleshelf)
