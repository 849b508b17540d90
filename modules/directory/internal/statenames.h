// Names of the target states in JSON messages.

#ifndef FULMAR_DIRECTORY_INTERNAL_STATENAMES_H
#define FULMAR_DIRECTORY_INTERNAL_STATENAMES_H

#include "fulmar/directory/directorytypes.h"

#include "jsonreader.h"

#include <string>
#include <string_view>
#include <vector>

namespace fulmar::directory {

/// Indexed by target_state.
inline const std::vector<std::string_view> &stateNames() {
  static const std::vector<std::string_view> Names = {"cold", "warm",
                                                      "draining"};
  return Names;
}

inline std::string stateName(target_state State) {
  return std::string(stateNames()[static_cast<std::size_t>(State)]);
}

inline target_state readState(json_reader &Reader) {
  return static_cast<target_state>(Reader.choice("state", stateNames()));
}

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_INTERNAL_STATENAMES_H
