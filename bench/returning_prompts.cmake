add_executable(returning_prompts returning_prompts.cpp)
target_link_libraries(returning_prompts PRIVATE bilberrytrail_site)
add_dependencies(returning_prompts bilberryd standin_engine standin_orders
                 standin_platform standin_store)
