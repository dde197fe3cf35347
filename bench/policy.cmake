bilberrytrail_add_bench(policy DEPENDS bilberrytrail_traffic)
target_include_directories(policy PRIVATE
                           ${CMAKE_SOURCE_DIR}/packages/traffic/tests)
