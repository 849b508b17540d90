// A process under test, started by the test and ended by its id.

#ifndef FULMAR_TESTS_SYSTEM_CHILDPROCESS_H
#define FULMAR_TESTS_SYSTEM_CHILDPROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fulmar::system_tests {

/// Killed, if still running, when the object goes.
class child_process {
public:
  /// Starts \p Program; its output goes to \p LogFile.
  child_process(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &LogFile);
  ~child_process();
  child_process(child_process &&Other) noexcept;
  child_process &operator=(child_process &&) = delete;

  void signal(int Number) const;
  /// The exit code, or 128 + signal; empty when still running after \p Wait.
  std::optional<int> waitExit(std::chrono::milliseconds Wait);
  /// SIGKILL, and waits for the end.
  void kill();
  [[nodiscard]] bool running();
  [[nodiscard]] pid_t id() const { return Id; }

private:
  pid_t Id = -1;
  std::optional<int> Ended;
};

} // namespace fulmar::system_tests

#endif // FULMAR_TESTS_SYSTEM_CHILDPROCESS_H
