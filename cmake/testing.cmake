# Support for the test programs, one per package, built from its tests/*.cpp.
find_package(Catch2 2 REQUIRED)
include(Catch)

add_library(test_main STATIC ${CMAKE_SOURCE_DIR}/tests/test_main.cpp
                             ${CMAKE_SOURCE_DIR}/tests/support/free_port.cpp)
target_include_directories(test_main PUBLIC ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(test_main PUBLIC Catch2::Catch2 rapidcheck)

# Property tests run with a fixed seed, so that a run can be reproduced.
function(add_package_tests package)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${package}_tests ${sources})
  target_link_libraries(${package}_tests PRIVATE test_main ${ARGN})
  catch_discover_tests(${package}_tests TEST_PREFIX "${package}."
                       DISCOVERY_MODE PRE_TEST
                       PROPERTIES ENVIRONMENT "RC_PARAMS=seed=1")
endfunction()
