# citrongap_package(NAME SOURCES... DEPENDS... TESTS...)
# One static library with public headers in include/, and one Boost.Test
# program over the *_test.cpp files that stand beside the sources.
set(CITRONGAP_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)

function(citrongap_package name)
  cmake_parse_arguments(P "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
  add_library(citrongap_${name} STATIC ${P_SOURCES})
  target_include_directories(citrongap_${name} PUBLIC include)
  target_compile_options(citrongap_${name} PRIVATE ${CITRONGAP_WARNINGS})
  target_link_libraries(citrongap_${name} PUBLIC ${P_DEPENDS})
  if(P_TESTS)
    citrongap_test(${name}_test SOURCES ${P_TESTS}
                   DEPENDS citrongap_${name} ${P_TEST_DEPENDS})
  endif()
endfunction()

function(citrongap_test name)
  cmake_parse_arguments(P "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${P_SOURCES})
  target_link_libraries(${name} PRIVATE ${P_DEPENDS} citrongap_test_main)
  target_compile_options(${name} PRIVATE ${CITRONGAP_WARNINGS})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()

function(citrongap_program name)
  cmake_parse_arguments(P "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${P_SOURCES})
  target_link_libraries(${name} PRIVATE ${P_DEPENDS})
  target_compile_options(${name} PRIVATE ${CITRONGAP_WARNINGS})
endfunction()
