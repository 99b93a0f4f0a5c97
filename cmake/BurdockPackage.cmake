# Adds the library of one package and its test program.
#
#   burdock_package(NAME DEPENDS other packages LIBRARIES system libraries)
#
# Sources come from src/, public headers from include/, tests from tests/.
function(burdock_package name)
    cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/src/main\\.cpp$")
    list(TRANSFORM arg_DEPENDS PREPEND burdock_)
    if(sources)
        add_library(burdock_${name} STATIC ${sources})
        set(scope PUBLIC)
    else()
        add_library(burdock_${name} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(burdock_${name} ${scope} ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(burdock_${name} ${scope} ${arg_DEPENDS} ${arg_LIBRARIES})
    burdock_tests(${name}test ${CMAKE_CURRENT_SOURCE_DIR}/tests burdock_${name})
endfunction()

# Adds one Catch2 program from every source in a folder; its cases are single tests to CTest.
function(burdock_tests name folder)
    file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${folder}/*.cpp)
    if(NOT tests)
        return()
    endif()
    add_executable(${name} ${tests})
    target_link_libraries(${name} PRIVATE burdock_catchmain ${ARGN})
    target_include_directories(${name} PRIVATE ${folder})
    catch_discover_tests(${name} TEST_PREFIX "${name}: " DISCOVERY_MODE PRE_TEST PROPERTIES TIMEOUT 120)
endfunction()
