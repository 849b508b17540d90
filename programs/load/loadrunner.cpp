// Workers, schedules and resends.

#include "loadrunner.h"

#include "fulmar/base/rendezvous.h"
#include "fulmar/proxy/connection.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace fulmar::load {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

void sleepUntil(base::instant Due) {
  std::this_thread::sleep_for(
      std::max(Due - proxy::currentInstant(), base::duration(0)));
}

} // namespace

load_runner::load_runner(load_options Settings)
    : Options(std::move(Settings)), Entries(Options) {}

load_result load_runner::run() {
  Start = proxy::currentInstant();
  std::vector<load_report> Reports(Options.Concurrency);
  std::vector<std::thread> Workers;
  Workers.reserve(Reports.size());
  for (load_report &Report : Reports)
    Workers.emplace_back([this, &Report] { Report = work(); });
  for (std::thread &Worker : Workers)
    Worker.join();
  load_result Result{.Elapsed = proxy::currentInstant() - Start};
  for (const load_report &Report : Reports)
    Result.Report.merge(Report);
  return Result;
}

load_report load_runner::work() {
  load_report Report;
  load_client Client(Options);
  while (true) {
    const std::uint64_t Number = Next++;
    const base::instant Now = proxy::currentInstant();
    base::instant Due = Now;
    if (Options.Rate > 0)
      Due = Start + base::duration(static_cast<std::int64_t>(
                        static_cast<double>(Number) * MicrosecondsPerSecond /
                        Options.Rate));
    if (Number >= Options.Count ||
        std::max(Due, Now) > Start + Options.Duration)
      return Report;
    sleepUntil(Due);
    const load_answer Answer = serve(Client, Number, Report);
    Report.add(Answer, proxy::currentInstant() - Due);
  }
}

load_request load_runner::makeRequest(std::uint64_t Number) const {
  constexpr std::uint64_t Parts = 10000;
  load_request Request{.Tag = "t" + std::to_string(Options.Seed) + "-" +
                              std::to_string(Number)};
  const std::uint64_t Draw = base::digest(Request.Tag, Options.Seed) % Parts;
  Request.Post = static_cast<double>(Draw) <
                 Options.PostShare * static_cast<double>(Parts);
  if (Request.Post && Options.Keys)
    Request.Key = "k" + Request.Tag;
  return Request;
}

load_answer load_runner::serve(load_client &Client, std::uint64_t Number,
                               load_report &Report) {
  const load_request Request = makeRequest(Number);
  std::vector<std::string> Others;
  for (std::uint32_t Arrival = 0;; ++Arrival) {
    const std::string Address = Others.empty()
                                    ? Entries.pick(Number + Arrival)
                                    : Others[Arrival % Others.size()];
    load_answer Answer =
        Address.empty() ? load_answer{} : Client.exchange(Request, Address);
    if (Arrival >= Options.Resends || !maySendAgain(Request, Answer))
      return Answer;
    Others = Answer.OtherEntries;
    Report.addResend();
    awaitRetry(Answer);
  }
}

bool load_runner::maySendAgain(const load_request &Request,
                               const load_answer &Answer) const {
  if (Answer.Outcome == outcome::RefusedNotRun)
    return Answer.RetryAfter.count() > 0;
  const bool Safe = !Request.Post || !Request.Key.empty();
  return Safe &&
         (Answer.Outcome == outcome::Unknown ||
          Answer.Outcome == outcome::Broken || Answer.Outcome == outcome::Lost);
}

void load_runner::awaitRetry(const load_answer &Answer) const {
  constexpr std::chrono::milliseconds ShortPause(50);
  const base::duration Asked =
      std::max<base::duration>(Answer.RetryAfter, ShortPause);
  std::this_thread::sleep_for(
      std::min<base::duration>(Asked, Options.MaxRetryWait));
}

} // namespace fulmar::load
