// Runs a bounded load with several workers, in an open or a closed loop.

#ifndef FULMAR_LOAD_LOADRUNNER_H
#define FULMAR_LOAD_LOADRUNNER_H

#include "entrylist.h"
#include "fulmar/base/time.h"
#include "loadclient.h"
#include "loadreport.h"
#include "loadtypes.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace fulmar::load {

struct load_result {
  load_report Report;
  base::duration Elapsed{};
};

class load_runner {
public:
  explicit load_runner(load_options Settings);

  /// Ends after the count or the duration, whichever comes first.
  load_result run();

private:
  load_report work();
  /// Sends request \p Number, and again where the options ask for it.
  load_answer serve(load_client &Client, std::uint64_t Number,
                    load_report &Report);
  [[nodiscard]] load_request makeRequest(std::uint64_t Number) const;
  [[nodiscard]] bool maySendAgain(const load_request &Request,
                                  const load_answer &Answer) const;
  void awaitRetry(const load_answer &Answer) const;

  const load_options Options;
  entry_list Entries;
  base::instant Start;
  std::atomic<std::uint64_t> Next{0};
};

} // namespace fulmar::load

#endif // FULMAR_LOAD_LOADRUNNER_H
