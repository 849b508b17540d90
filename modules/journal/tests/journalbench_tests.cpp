// Measures commits on real files and recovery. Runs only when FULMAR_BENCH
// names a folder; prints figures and checks no time.

#include "fulmar/journal/journal.h"
#include "fulmar/journal/posixfilesystem.h"

#include "fulmar/testing/property.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <vector>

using namespace fulmar::journal;

namespace {

using bench_clock = std::chrono::steady_clock;

double millisecondsSince(bench_clock::time_point Start) {
  return std::chrono::duration<double, std::milli>(bench_clock::now() - Start)
      .count();
}

void measureCommits(const std::string &Folder, std::uint64_t RecordsPerCommit) {
  constexpr int Commits = 500;
  constexpr std::size_t PayloadBytes = 300;
  std::filesystem::remove_all(Folder);
  posix_filesystem Files;
  auto Opened = journal::open({.Folder = Folder}, Files);
  CHECK(Opened.has_value());
  auto &Journal = *Opened.value().Journal;
  std::vector<double> Times;
  std::uint64_t Index = 0;
  const auto Start = bench_clock::now();
  for (int Commit = 0; Commit < Commits; ++Commit) {
    const auto Begun = bench_clock::now();
    for (std::uint64_t I = 0; I < RecordsPerCommit; ++I)
      Journal.append(++Index, std::string(PayloadBytes, 'x'));
    CHECK(Journal.commit().has_value());
    Times.push_back(millisecondsSince(Begun));
  }
  const double Seconds = millisecondsSince(Start) / 1000;
  std::sort(Times.begin(), Times.end());
  std::printf("%llu records a commit: %.0f commits/s, p50 %.3f ms, "
              "p99 %.3f ms\n",
              static_cast<unsigned long long>(RecordsPerCommit),
              Commits / Seconds, Times[Commits / 2], Times[Commits * 99 / 100]);
}

void measureRecovery(const std::string &Folder, std::uint64_t Records) {
  constexpr std::uint64_t RecordsPerCommit = 100;
  constexpr std::size_t PayloadBytes = 300;
  std::filesystem::remove_all(Folder);
  posix_filesystem Files;
  {
    auto Opened = journal::open({.Folder = Folder}, Files);
    CHECK(Opened.has_value());
    auto &Journal = *Opened.value().Journal;
    for (std::uint64_t Index = 1; Index <= Records; ++Index) {
      Journal.append(Index, std::string(PayloadBytes, 'x'));
      if (Index % RecordsPerCommit == 0)
        CHECK(Journal.commit().has_value());
    }
  }
  const auto Start = bench_clock::now();
  auto Opened = journal::open({.Folder = Folder}, Files);
  CHECK(Opened.has_value());
  std::printf("%llu records: recovery %.1f ms, %llu bytes\n",
              static_cast<unsigned long long>(Records),
              millisecondsSince(Start),
              static_cast<unsigned long long>(Opened.value().Journal->bytes()));
}

} // namespace

TEST_GROUP(JournalBench){};

TEST(JournalBench, commitsAndRecovery) {
  const char *Parent = std::getenv("FULMAR_BENCH");
  if (Parent == nullptr)
    return;
  const std::string Folder = std::string(Parent) + "/journal-bench";
  for (const std::uint64_t RecordsPerCommit : {1, 10, 100})
    measureCommits(Folder, RecordsPerCommit);
  for (const std::uint64_t Records : {1000, 10000, 100000})
    measureRecovery(Folder, Records);
  std::filesystem::remove_all(Folder);
}
