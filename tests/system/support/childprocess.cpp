// Starts and ends processes by POSIX calls.

#include "support/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char **environ;

namespace fulmar::system_tests {

namespace {

constexpr std::chrono::milliseconds PollInterval(5);

} // namespace

child_process::child_process(const std::string &Program,
                             const std::vector<std::string> &Arguments,
                             const std::string &LogFile) {
  std::vector<char *> Words = {const_cast<char *>(Program.c_str())};
  for (const std::string &Argument : Arguments)
    Words.push_back(const_cast<char *>(Argument.c_str()));
  Words.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  constexpr mode_t Mode = 0644;
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, Mode);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // A child that held the test's sockets would keep connections open that the
  // test has closed.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  const int Fault =
      posix_spawn(&Id, Program.c_str(), &Files, nullptr, Words.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Fault != 0)
    throw std::runtime_error("can't start " + Program);
}

child_process::child_process(child_process &&Other) noexcept
    : Id(std::exchange(Other.Id, -1)), Ended(Other.Ended) {}

child_process::~child_process() { kill(); }

void child_process::signal(int Number) const {
  if (Id > 0 && !Ended)
    ::kill(Id, Number);
}

std::optional<int> child_process::waitExit(std::chrono::milliseconds Wait) {
  const auto Limit = std::chrono::steady_clock::now() + Wait;
  while (Id > 0 && !Ended) {
    int Status = 0;
    if (waitpid(Id, &Status, WNOHANG) == Id) {
      constexpr int SignalBase = 128;
      Ended = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                : SignalBase + WTERMSIG(Status);
      break;
    }
    if (std::chrono::steady_clock::now() >= Limit)
      return std::nullopt;
    std::this_thread::sleep_for(PollInterval);
  }
  return Ended;
}

void child_process::kill() {
  signal(SIGKILL);
  // A stopped process takes SIGKILL as well.
  waitExit(std::chrono::seconds(10));
}

bool child_process::running() {
  return !waitExit(std::chrono::milliseconds(0)).has_value();
}

} // namespace fulmar::system_tests
