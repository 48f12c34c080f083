# Defines a static library from all sources of the calling folder. Arguments are the libraries it links.
function(wigeonlift_library name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp *.cc)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC ${ARGN})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE ${ARGN})
  endif()
endfunction()

# Defines a program from all sources of the calling folder. Arguments are the libraries it links.
function(wigeonlift_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# Defines a GoogleTest program from all Test*.cpp of the calling folder and registers its tests with CTest.
function(wigeonlift_test name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARGN} GTest::gtest GTest::gtest_main)
  gtest_discover_tests(${name} DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 120)
endfunction()

# Defines a program from Main.cpp of the calling folder and a static library, which tests can link, from its other
# sources. Arguments are the name of the library and the libraries it links.
function(wigeonlift_testable_program name library)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  list(REMOVE_ITEM sources ${CMAKE_CURRENT_SOURCE_DIR}/Main.cpp)
  add_library(${library} STATIC ${sources})
  target_include_directories(${library} PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(${library} PUBLIC ${ARGN})
  add_executable(${name} Main.cpp)
  target_link_libraries(${name} PRIVATE ${library} PkgConfig::GFLAGS)
endfunction()
