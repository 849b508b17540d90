# Shared rules for the workspace: one static library per module, one test
# binary per module, one small binary per program.

add_library(fulmar_options INTERFACE)
target_compile_features(fulmar_options INTERFACE cxx_std_20)
target_compile_options(
  fulmar_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                           -Wnon-virtual-dtor -Woverloaded-virtual
                           # Option structs rely on their members' defaults.
                           -Wno-missing-field-initializers
                           # GCC 12 reports std::string concatenation falsely.
                           $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
if(FULMAR_WERROR)
  target_compile_options(fulmar_options INTERFACE -Werror)
endif()
if(FULMAR_SANITIZE)
  target_compile_options(fulmar_options INTERFACE
    -fsanitize=${FULMAR_SANITIZE} -fno-omit-frame-pointer
    -fno-sanitize-recover=all)
  target_link_options(fulmar_options INTERFACE
    -fsanitize=${FULMAR_SANITIZE})
endif()

# fulmar_module(NAME [DEPENDS module...] [LIBRARIES library...])
function(fulmar_module NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS internal/*.cpp)
  if(SOURCES)
    add_library(fulmar_${NAME} STATIC ${SOURCES})
    set(SCOPE PUBLIC)
  else()
    add_library(fulmar_${NAME} INTERFACE)
    set(SCOPE INTERFACE)
  endif()
  target_include_directories(fulmar_${NAME}
    ${SCOPE} ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(fulmar_${NAME} ${SCOPE} fulmar_options)
  foreach(DEPENDENCY ${ARG_DEPENDS})
    target_link_libraries(fulmar_${NAME} ${SCOPE} fulmar_${DEPENDENCY})
  endforeach()
  target_link_libraries(fulmar_${NAME} ${SCOPE} ${ARG_LIBRARIES})

  file(GLOB TESTS CONFIGURE_DEPENDS tests/*.cpp)
  if(TESTS AND FULMAR_TESTS)
    add_executable(${NAME}_tests ${TESTS})
    target_include_directories(${NAME}_tests
      PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${NAME}_tests PRIVATE fulmar_${NAME}
      fulmar_testing)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests -v)
  endif()
endfunction()

# fulmar_program(NAME [DEPENDS module...] [LIBRARIES library...])
function(fulmar_program NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp internal/*.cpp)
  add_executable(${NAME} ${SOURCES})
  set_target_properties(${NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  target_include_directories(${NAME} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${NAME} PRIVATE fulmar_options ${ARG_LIBRARIES})
  foreach(DEPENDENCY ${ARG_DEPENDS})
    target_link_libraries(${NAME} PRIVATE fulmar_${DEPENDENCY})
  endforeach()
endfunction()
