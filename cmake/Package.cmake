# Adds the library bilberrytrail_NAME from src/*.cpp and, when tests/*.cpp
# exist, the doctest program test_NAME. Arguments after DEPENDS are linked
# publicly, arguments after PRIVATE privately.
function(bilberrytrail_package NAME)
  cmake_parse_arguments(PACKAGE "" "" "DEPENDS;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  if(sources)
    add_library(bilberrytrail_${NAME} STATIC ${sources})
    target_include_directories(bilberrytrail_${NAME} PUBLIC include PRIVATE src)
    target_link_libraries(bilberrytrail_${NAME} PUBLIC ${PACKAGE_DEPENDS}
                          PRIVATE ${PACKAGE_PRIVATE})
  else()
    add_library(bilberrytrail_${NAME} INTERFACE)
    target_include_directories(bilberrytrail_${NAME} INTERFACE include)
    target_link_libraries(bilberrytrail_${NAME} INTERFACE ${PACKAGE_DEPENDS})
  endif()
  bilberrytrail_tests(${NAME} DEPENDS bilberrytrail_${NAME})
  if(TARGET test_${NAME})
    target_include_directories(test_${NAME} PRIVATE src)
  endif()
endfunction()

# Adds the doctest program test_NAME from tests/*.cpp of the current folder, and
# a test that runs it with the arguments after ARGS.
function(bilberrytrail_tests NAME)
  cmake_parse_arguments(TESTS "" "" "DEPENDS;ARGS" ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  if(tests AND BILBERRYTRAIL_TESTS)
    add_executable(test_${NAME} ${tests} ${CMAKE_SOURCE_DIR}/cmake/doctest_main.cpp)
    target_link_libraries(test_${NAME} PRIVATE ${TESTS_DEPENDS})
    target_compile_definitions(test_${NAME} PRIVATE
                               BILBERRYTRAIL_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    add_test(NAME ${NAME} COMMAND test_${NAME} ${TESTS_ARGS})
  endif()
endfunction()
