bilberrytrail_add_bench(recovery DEPENDS bilberrytrail_site
                                         bilberrytrail_membership
                                         bilberrytrail_settings)
add_dependencies(recovery bilberryd standin_engine standin_orders
                 standin_platform standin_store)
