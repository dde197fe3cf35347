find_package(Python3 REQUIRED COMPONENTS Interpreter)
add_test(NAME capacity
         COMMAND Python3::Interpreter ${CMAKE_SOURCE_DIR}/tools/capacity.py
                 --check)
