// Callers that load an entry while a test disturbs the deployment.

#ifndef FULMAR_TESTS_SYSTEM_BACKGROUNDLOAD_H
#define FULMAR_TESTS_SYSTEM_BACKGROUNDLOAD_H

#include "support/httpcaller.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace fulmar::system_tests {

/// Callers that send requests until stopped, and count what they got.
class background_load {
public:
  background_load(const std::string &EntryAddress, int Workers,
                  const std::string &Path)
      : Address(EntryAddress), Target(Path) {
    for (int Worker = 0; Worker < Workers; ++Worker)
      Threads.emplace_back([this, Worker] { run(Worker); });
  }
  ~background_load() { stop(); }

  void stop() {
    Ending.store(true);
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  std::atomic<int> Ok{0};
  /// Refused with the statement that nothing was run.
  std::atomic<int> NotRun{0};
  /// No complete answer, an unknown outcome or another caller's answer.
  std::atomic<int> Lost{0};

private:
  void run(int Worker) {
    for (int Count = 0; !Ending.load(); ++Count) {
      const std::string Tag =
          "w" + std::to_string(Worker) + "-" + std::to_string(Count);
      const auto Answer = callHttp(
          Address, {.Path = Target, .Headers = {{"X-Request-Tag", Tag}}});
      if (Answer && Answer->Status == 200 &&
          Answer->Body.find(Tag) != std::string::npos)
        ++Ok;
      else if (Answer && Answer->header("Fulmar-Not-Run") == "true") {
        ++NotRun;
        // Refusals come at once: without a pause their connections would use
        // up the machine's ports.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      } else
        ++Lost;
    }
  }

  const std::string Address;
  const std::string Target;
  std::atomic<bool> Ending{false};
  std::vector<std::thread> Threads;
};

} // namespace fulmar::system_tests

#endif // FULMAR_TESTS_SYSTEM_BACKGROUNDLOAD_H
