// The addresses that the entries told callers to use, kept for their time.

#ifndef FULMAR_LOAD_ENTRYLIST_H
#define FULMAR_LOAD_ENTRYLIST_H

#include "fulmar/base/time.h"
#include "loadtypes.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace fulmar::load {

/// Thread-safe.
class entry_list {
public:
  explicit entry_list(const load_options &Settings);

  /// An address to use for request \p Number; asks an entry when the kept
  /// answer has expired. Empty when no entry answers.
  std::string pick(std::uint64_t Number);
  /// How often an entry was asked.
  [[nodiscard]] std::uint64_t questions() const;

private:
  void refresh();
  bool ask(const std::string &Entry);

  const load_options &Options;
  mutable std::mutex Mutex;
  std::vector<std::string> Addresses;
  base::instant KeptUntil;
  std::size_t NextEntry = 0;
  std::uint64_t Questions = 0;
};

} // namespace fulmar::load

#endif // FULMAR_LOAD_ENTRYLIST_H
