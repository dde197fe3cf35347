bilberrytrail_add_bench(relay DEPENDS bilberrytrail_entry)
target_include_directories(relay PRIVATE ${CMAKE_SOURCE_DIR}/packages/entry/src)
