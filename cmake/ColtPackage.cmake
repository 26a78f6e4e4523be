# Helpers that every package of the workspace uses.

find_package(PkgConfig REQUIRED)
pkg_check_modules(GLIB REQUIRED IMPORTED_TARGET glib-2.0)
pkg_check_modules(EVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(PROTOBUFC REQUIRED IMPORTED_TARGET libprotobuf-c)
pkg_check_modules(ARGTABLE REQUIRED IMPORTED_TARGET argtable2)
pkg_check_modules(LOG4C REQUIRED IMPORTED_TARGET log4c)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(JANSSON REQUIRED IMPORTED_TARGET jansson)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(GSL REQUIRED IMPORTED_TARGET gsl)
pkg_check_modules(ZLIB REQUIRED IMPORTED_TARGET zlib)

add_library(colt_flags INTERFACE)
target_include_directories(colt_flags INTERFACE
  $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/include>
  $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
target_compile_options(colt_flags INTERFACE
  $<BUILD_INTERFACE:-Wall> $<BUILD_INTERFACE:-Wextra>
  $<BUILD_INTERFACE:-Wshadow> $<BUILD_INTERFACE:-Wstrict-prototypes>
  $<BUILD_INTERFACE:-Wmissing-prototypes> $<BUILD_INTERFACE:-Wvla>
  $<BUILD_INTERFACE:-Wno-sign-compare> $<BUILD_INTERFACE:-Wno-missing-field-initializers>)
if(COLT_WERROR)
  target_compile_options(colt_flags INTERFACE $<BUILD_INTERFACE:-Werror>)
endif()
if(COLT_GUARD_SWITCHES)
  target_compile_definitions(colt_flags INTERFACE $<BUILD_INTERFACE:COLT_GUARD_SWITCHES=1>)
endif()
if(COLT_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
if(COLT_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link)
endif()
install(TARGETS colt_flags EXPORT coltsfootstile-targets)

# colt_package(NAME SOURCES ... [DEPENDS ...] [PRIVATE_DEPENDS ...] [DESCRIPTION ...])
# Declares the static library colt_NAME, installs it, and writes its pkg-config file.
function(colt_package name)
  cmake_parse_arguments(P "" "DESCRIPTION" "SOURCES;DEPENDS;PRIVATE_DEPENDS;REQUIRES" ${ARGN})
  add_library(colt_${name} STATIC ${P_SOURCES})
  target_include_directories(colt_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/private)
  target_link_libraries(colt_${name} PUBLIC colt_flags ${P_DEPENDS} PRIVATE ${P_PRIVATE_DEPENDS})
  install(TARGETS colt_${name} EXPORT coltsfootstile-targets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  set(PC_NAME coltsfootstile-${name})
  set(PC_DESCRIPTION "${P_DESCRIPTION}")
  set(PC_LIBRARY colt_${name})
  set(PC_REQUIRES "")
  foreach(dep ${P_DEPENDS})
    if(dep MATCHES "^colt_(.+)$")
      list(APPEND PC_REQUIRES coltsfootstile-${CMAKE_MATCH_1})
    endif()
  endforeach()
  list(APPEND PC_REQUIRES ${P_REQUIRES})
  list(JOIN PC_REQUIRES " " PC_REQUIRES)
  file(RELATIVE_PATH PC_PREFIX /${CMAKE_INSTALL_LIBDIR}/pkgconfig /)
  configure_file(${CMAKE_SOURCE_DIR}/cmake/package.pc.in
                 ${CMAKE_CURRENT_BINARY_DIR}/${PC_NAME}.pc @ONLY)
  install(FILES ${CMAKE_CURRENT_BINARY_DIR}/${PC_NAME}.pc
          DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
endfunction()

# colt_test(NAME LIBS ...) builds src/test_NAME/*.c and registers it with ctest.
function(colt_test name)
  cmake_parse_arguments(P "" "" "LIBS;SOURCES" ${ARGN})
  if(NOT P_SOURCES)
    file(GLOB P_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
  endif()
  add_executable(test_${name} ${P_SOURCES})
  target_link_libraries(test_${name} PRIVATE colt_flags ${P_LIBS} PkgConfig::GLIB)
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# colt_fuzzer(NAME RUNS LIBS ...) builds fuzz/fuzz_NAME.c as a libFuzzer target
# with a fixed seed and run count for ctest. It starts from the files in the folders
# SEEDS, if any are given, of which each is run.
function(colt_fuzzer name runs)
  cmake_parse_arguments(P "" "" "LIBS;SEEDS" ${ARGN})
  if(NOT COLT_FUZZ)
    return()
  endif()
  add_executable(fuzz_${name} ${CMAKE_SOURCE_DIR}/fuzz/fuzz_${name}.c)
  target_link_libraries(fuzz_${name} PRIVATE colt_flags ${P_LIBS} PkgConfig::GLIB)
  target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
  set(seed_option)
  if(P_SEEDS)
    list(TRANSFORM P_SEEDS PREPEND ${CMAKE_SOURCE_DIR}/)
    list(TRANSFORM P_SEEDS APPEND /*)
    file(GLOB seeds CONFIGURE_DEPENDS ${P_SEEDS})
    list(JOIN seeds "," seed_list)
    set(seed_option -seed_inputs=${seed_list})
    add_test(NAME fuzz_${name}_seeds COMMAND fuzz_${name} ${seeds})
  endif()
  add_test(NAME fuzz_${name} COMMAND fuzz_${name} -runs=${runs} -seed=1 -max_len=4096 -print_final_stats=1 ${seed_option})
  set_tests_properties(fuzz_${name} PROPERTIES TIMEOUT 300)
endfunction()
