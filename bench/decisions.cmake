bilberrytrail_add_bench(decisions DEPENDS bilberrytrail_daemon)
bilberrytrail_add_bench(view DEPENDS bilberrytrail_daemon)
foreach(program decisions view)
  target_include_directories(${program} PRIVATE
                             ${CMAKE_SOURCE_DIR}/packages/daemon/src)
endforeach()
