// Options of a stand-in target and the behaviours that tests switch while it
// runs.

#ifndef FULMAR_TARGET_TARGETOPTIONS_H
#define FULMAR_TARGET_TARGETOPTIONS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmar::target {

enum class service_distribution : std::uint8_t { Fixed, Exponential, Uniform };

struct target_options {
  std::string Id = "target-1";
  std::string Service = "registry";
  std::string DataCentre = "pos";
  /// IP:PORT; port 0 takes any free port.
  std::string Listen = "127.0.0.1:0";
  std::vector<std::string> Entries;
  std::uint32_t Slots = 2;
  std::uint32_t Connections = 340;
  /// Requests in flight that a cold target bears.
  std::uint32_t BearsCold = 1;
  std::chrono::milliseconds Warmup{2000};
  double ServiceMs = 5;
  service_distribution Distribution = service_distribution::Fixed;
  /// Answers with chunked transfer coding instead of a Content-Length.
  bool Chunked = false;
  std::chrono::milliseconds AnnounceEvery{1000};
  /// How long a draining target still accepts requests.
  std::chrono::milliseconds DrainLinger{2500};
};

/// Faults that can be switched on while the target runs.
struct target_behaviour {
  /// Multiplies the service time.
  double Straggle = 1;
  /// Answers 500 at once.
  bool FailFast = false;
  /// Reports this load instead of the true one; negative: off.
  double LieLoad = -1;
  /// Age of the load that is reported.
  std::chrono::milliseconds LoadLag{0};
  /// Closes the connection after half of each answer.
  bool Truncate = false;
};

} // namespace fulmar::target

#endif // FULMAR_TARGET_TARGETOPTIONS_H
