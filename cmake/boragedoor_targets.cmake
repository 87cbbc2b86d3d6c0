# Compile options that every target of this repository shares.
add_library(boragedoor_options INTERFACE)
target_compile_options(boragedoor_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wnon-virtual-dtor)
if(BORAGEDOOR_WARNINGS_AS_ERRORS)
  target_compile_options(boragedoor_options INTERFACE -Werror)
endif()
if(BORAGEDOOR_SANITIZE)
  target_compile_options(boragedoor_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  target_link_options(boragedoor_options INTERFACE -fsanitize=address,undefined)
endif()

# boragedoor_library(NAME SOURCES ... DEPENDS ...)
# Adds the static library boragedoor_NAME whose headers are included as "NAME/header.h".
function(boragedoor_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(boragedoor_${name} STATIC ${arg_SOURCES})
  target_include_directories(boragedoor_${name} PUBLIC ${PROJECT_SOURCE_DIR}/libs)
  target_link_libraries(boragedoor_${name} PUBLIC ${arg_DEPENDS} PRIVATE boragedoor_options)
endfunction()

# boragedoor_program(NAME SOURCES ... DEPENDS ...)
function(boragedoor_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} boragedoor_options)
endfunction()

# boragedoor_test(NAME SOURCES ... DEPENDS ...)
# Adds a Catch2 test program and registers it with ctest under its own name.
# The seed is fixed so that every run draws the same random cases.
function(boragedoor_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE
    ${arg_DEPENDS} boragedoor_test_main boragedoor_options)
  add_test(NAME ${name} COMMAND ${name} WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT
    "RC_PARAMS=seed=20261204;BORAGEDOOR_BIN_DIR=${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
endfunction()
