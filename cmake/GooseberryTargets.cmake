# Functions and compile options for the project's libraries, programs and tests.

add_library(gl_warnings INTERFACE)
target_compile_options(gl_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion
                                             -Wnon-virtual-dtor -Werror)
# GCC 12 reports false positives of these warnings for libstdc++ in optimized and sanitized builds.
target_compile_options(gl_warnings INTERFACE -Wno-maybe-uninitialized -Wno-restrict)

add_compile_definitions(BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
                        BOOST_ASIO_NO_DEPRECATED)

# gl_library(NAME DEPENDS lib... LINK external...)
# Builds libs/NAME/src/*.cpp as gl_NAME, libs/NAME/test/*.cpp as gl_NAME_test,
# libs/NAME/test/sequential/*.cpp as gl_NAME_sequential_test and libs/NAME/bench/*.cpp as
# NAME_bench.
function(gl_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src/*.cpp)
  file(GLOB generated CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/gen-cpp/*.cpp)
  if(NOT sources)
    message(FATAL_ERROR "library ${name} has no sources")
  endif()
  add_library(gl_${name} STATIC ${sources} ${generated})
  if(generated)
    set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS "-w")
  endif()
  target_include_directories(gl_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/${name}/include)
  target_include_directories(gl_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src)
  target_include_directories(gl_${name} SYSTEM PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/${name}/gen-cpp)
  list(TRANSFORM ARG_DEPENDS PREPEND gl_ OUTPUT_VARIABLE depends)
  target_link_libraries(gl_${name} PUBLIC ${depends} ${ARG_LINK} Threads::Threads
                        PRIVATE gl_warnings)
  gl_library_test(${name} ${name} ${CMAKE_CURRENT_SOURCE_DIR}/${name}/test)
  # Tests that run on one thread, so the thread sanitizer build can exclude them by label.
  gl_library_test(${name}_sequential ${name} ${CMAKE_CURRENT_SOURCE_DIR}/${name}/test/sequential)
  # Sequential tests and benchmarks use the fixtures of the other tests.
  file(GLOB fixtures CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/test/*_fixture.cpp)
  if(TARGET gl_${name}_sequential_test)
    set_tests_properties(${name}_sequential PROPERTIES LABELS sequential)
    target_sources(gl_${name}_sequential_test PRIVATE ${fixtures})
    target_include_directories(gl_${name}_sequential_test
                               PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/${name}/test)
  endif()
  file(GLOB benches CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/bench/*.cpp)
  if(benches AND NOT GL_SANITIZE)
    add_executable(${name}_bench ${benches} ${fixtures})
    target_link_libraries(${name}_bench PRIVATE gl_${name} gl_warnings)
  endif()
endfunction()

# gl_library_test(NAME LIBRARY FOLDER)
# Builds FOLDER/*.cpp, if there are any, as gl_NAME_test and registers it as the test NAME.
function(gl_library_test name library folder)
  file(GLOB tests CONFIGURE_DEPENDS ${folder}/*.cpp)
  if(NOT tests)
    return()
  endif()
  # BOOST_TEST_MODULE defines main(), so exactly one file of a test may define it.
  set(test_main ${CMAKE_CURRENT_BINARY_DIR}/${name}_test_main.cpp)
  file(CONFIGURE OUTPUT ${test_main}
    CONTENT "#define BOOST_TEST_MODULE ${name}\n#include <boost/test/unit_test.hpp>\n")
  add_executable(gl_${name}_test ${tests} ${test_main})
  target_compile_definitions(gl_${name}_test PRIVATE BOOST_TEST_DYN_LINK
    GL_SOURCE_DIR="${PROJECT_SOURCE_DIR}" GL_BINARY_DIR="${PROJECT_BINARY_DIR}")
  target_include_directories(gl_${name}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/${library}/src)
  target_link_libraries(gl_${name}_test PRIVATE gl_${library} gl_warnings
                        boost_unit_test_framework rapidcheck)
  add_test(NAME ${name} COMMAND gl_${name}_test)
endfunction()

# gl_app(NAME DEPENDS lib... LINK external...)
# Builds apps/NAME/src/*.cpp as the program NAME.
function(gl_app name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src/*.cpp)
  list(TRANSFORM ARG_DEPENDS PREPEND gl_ OUTPUT_VARIABLE depends)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src)
  target_link_libraries(${name} PRIVATE ${depends} ${ARG_LINK} gl_warnings)
  target_compile_definitions(${name} PRIVATE GL_VERSION="${PROJECT_VERSION}")
endfunction()
