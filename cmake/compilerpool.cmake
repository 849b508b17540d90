# Bounds the number of compilers that Ninja runs at once by the memory that the
# machine has available. A compiler that the system kills ends the whole build.

set(FULMAR_BUILD_MEMORY_MB "" CACHE STRING
    "Memory in MB that the compilers may use together; empty: what is available")

# The largest compiler takes 0.7 GB.
set(COMPILER_MEMORY_MB 1000)

# Sets RESULT to the smallest of the available memory and the limits of the
# control group, in MB.
function(fulmar_available_memory RESULT)
  cmake_host_system_information(RESULT MEMORY QUERY AVAILABLE_PHYSICAL_MEMORY)
  foreach(FILE /sys/fs/cgroup/memory.max
               /sys/fs/cgroup/memory/memory.limit_in_bytes)
    if(NOT EXISTS ${FILE})
      continue()
    endif()
    file(READ ${FILE} LIMIT)
    string(STRIP "${LIMIT}" LIMIT)
    if(LIMIT MATCHES "^[0-9]+$")
      math(EXPR LIMIT "${LIMIT} >> 20")
      if(LIMIT GREATER 0 AND LIMIT LESS MEMORY)
        set(MEMORY ${LIMIT})
      endif()
    endif()
  endforeach()
  set(${RESULT} ${MEMORY} PARENT_SCOPE)
endfunction()

set(MEMORY_MB "${FULMAR_BUILD_MEMORY_MB}")
if(NOT MEMORY_MB)
  fulmar_available_memory(MEMORY_MB)
endif()
math(EXPR COMPILERS "${MEMORY_MB} / ${COMPILER_MEMORY_MB}")
if(COMPILERS LESS 1)
  set(COMPILERS 1)
endif()
set_property(GLOBAL APPEND PROPERTY JOB_POOLS compilers=${COMPILERS})
set(CMAKE_JOB_POOL_COMPILE compilers)
message(STATUS "At most ${COMPILERS} compilers at once in ${MEMORY_MB} MB")
