# Helpers that declare the project's libraries, programs and tests.

add_library(acacia_options INTERFACE)
target_compile_options(acacia_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wold-style-cast
  -Wconversion -Wno-sign-conversion)
if(ACACIA_WERROR)
  target_compile_options(acacia_options INTERFACE -Werror)
endif()
target_include_directories(acacia_options INTERFACE ${PROJECT_SOURCE_DIR}/Source)
target_link_libraries(acacia_options INTERFACE Threads::Threads fmt::fmt)
if(ACACIA_SANITIZE)
  target_compile_options(acacia_options INTERFACE
    -fsanitize=${ACACIA_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(acacia_options INTERFACE -fsanitize=${ACACIA_SANITIZE})
endif()

# acacia_module(NAME SOURCES a.cpp ... [DEPENDS lib ...])
function(acacia_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(acacia_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(acacia_${name} PUBLIC acacia_options ${ARG_DEPENDS})
endfunction()

# acacia_program(NAME SOURCES a.cpp ... [DEPENDS lib ...])
function(acacia_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE acacia_options ${ARG_DEPENDS})
endfunction()

# acacia_test(NAME SOURCES aTest.cpp ... [DEPENDS lib ...])
function(acacia_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
  target_link_libraries(${name} PRIVATE acacia_options ${ARG_DEPENDS} criterion)
  # The macros of Criterion expand to C casts; a source property comes after
  # the options of linked targets.
  set_source_files_properties(${ARG_SOURCES} PROPERTIES
    COMPILE_OPTIONS -Wno-old-style-cast)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
