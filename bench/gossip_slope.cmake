bilberrytrail_add_bench(gossip_slope DEPENDS bilberrytrail_membership)
target_include_directories(gossip_slope PRIVATE
                           ${CMAKE_SOURCE_DIR}/packages/membership/tests)
