bilberrytrail_add_bench(claims DEPENDS bilberrytrail_site)
add_dependencies(claims bilberryd standin_engine standin_orders
                 standin_platform standin_store)
