// Options and outcomes of the load generator.

#ifndef FULMAR_LOAD_LOADTYPES_H
#define FULMAR_LOAD_LOADTYPES_H

#include "fulmar/base/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::load {

struct load_options {
  std::string Service = "registry";
  /// Entries to ask for addresses.
  std::vector<std::string> Entries;
  /// Addresses to use as they are; bypasses the entries.
  std::vector<std::string> Direct;
  std::uint64_t Count = 1000;
  std::chrono::milliseconds Duration{60000};
  /// Requests per second in an open loop; 0: closed loop.
  double Rate = 0;
  std::uint32_t Concurrency = 8;
  /// Part of the requests that are POST with an upload.
  double PostShare = 0;
  /// Gives each POST an Idempotency-Key.
  bool Keys = true;
  std::uint64_t UploadBytes = 200;
  bool ChunkedUploads = false;
  std::uint64_t AnswerBytes = 200;
  std::chrono::milliseconds Timeout{10000};
  /// Further arrivals of a request that was not served.
  std::uint32_t Resends = 0;
  std::chrono::milliseconds MaxRetryWait{5000};
  std::uint64_t Seed = 1;
};

enum class outcome : std::uint8_t {
  /// The request's own whole answer.
  Ok,
  /// Refused with the statement that it was not run.
  RefusedNotRun,
  /// Answered with an error that leaves open whether it was run.
  Unknown,
  /// A complete answer that belongs to another request.
  Wrong,
  /// An answer that is shorter than asked for and looks complete.
  TruncatedAsComplete,
  /// The transfer broke visibly.
  Broken,
  /// No connection or no answer.
  Lost,
};

inline constexpr std::size_t OutcomeCount = 7;

inline constexpr std::array<std::string_view, OutcomeCount> OutcomeNames = {
    "ok",    "refused_not_run",       "unknown",
    "wrong", "truncated_as_complete", "broken",
    "lost"};

/// One request as it is sent, also when it is sent again.
struct load_request {
  std::string Tag;
  bool Post = false;
  std::string Key;
};

struct load_answer {
  outcome Outcome = outcome::Lost;
  int Status = 0;
  /// Name in Fulmar-Error; empty without one.
  std::string Error;
  std::chrono::seconds RetryAfter{0};
  std::vector<std::string> OtherEntries;
};

} // namespace fulmar::load

#endif // FULMAR_LOAD_LOADTYPES_H
