// The task that owns the span file. Spans reach it through a bounded queue.

#include "fulmar/telemetry/trace.h"

#include "fulmar/base/mailbox.h"
#include "internal/otlp.h"

#include <atomic>
#include <exception>
#include <fstream>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace fulmar::telemetry {

namespace {

constexpr std::uint64_t MaxQueuedSpans = 4096;
constexpr base::duration WaitForSpans = std::chrono::milliseconds(200);
constexpr base::duration FlushTimeout = std::chrono::seconds(5);

using flush_request = std::shared_ptr<base::reply_slot<bool>>;
using message = std::variant<span, flush_request>;

} // namespace

struct span_exporter::implementation {
  implementation(std::string Name, const std::string &Path)
      : ServiceName(std::move(Name)), File(Path, std::ios::app),
        Task([this] { run(); }) {}

  void run() {
    while (!Queue.closed())
      write(Queue.takeAll(WaitForSpans));
    write(Queue.takeAll(base::duration(0)));
  }

  void write(std::vector<message> Messages) {
    std::vector<span> Spans;
    std::vector<flush_request> Flushes;
    for (message &Message : Messages) {
      if (auto *Span = std::get_if<span>(&Message))
        Spans.push_back(std::move(*Span));
      else
        Flushes.push_back(std::get<flush_request>(Message));
    }
    if (!Spans.empty() && !append(Spans))
      Dropped.fetch_add(Spans.size());
    Queued.fetch_sub(Spans.size());
    for (const flush_request &Flush : Flushes)
      Flush->set(true);
  }

  bool append(const std::vector<span> &Spans) {
    try {
      File.clear();
      File << otlpRequest(ServiceName, Spans) << '\n' << std::flush;
      return File.good();
    } catch (const std::exception &) {
      return false;
    }
  }

  const std::string ServiceName;
  base::mailbox<message> Queue;
  /// Spans in Queue or being written; never above MaxQueuedSpans.
  std::atomic<std::uint64_t> Queued{0};
  std::atomic<std::uint64_t> Dropped{0};
  /// Used by Task only.
  std::ofstream File;
  std::thread Task;
};

span_exporter::span_exporter(std::string ServiceName, const std::string &File) {
  if (!File.empty())
    Implementation =
        std::make_unique<implementation>(std::move(ServiceName), File);
}

span_exporter::~span_exporter() {
  if (!Implementation)
    return;
  Implementation->Queue.close();
  Implementation->Task.join();
}

void span_exporter::record(span Finished) {
  if (!Implementation || !Finished.Context.Sampled)
    return;
  if (Implementation->Queued.fetch_add(1) >= MaxQueuedSpans) {
    Implementation->Queued.fetch_sub(1);
    Implementation->Dropped.fetch_add(1);
    return;
  }
  Implementation->Queue.post(std::move(Finished));
}

void span_exporter::flush() {
  if (!Implementation)
    return;
  const auto Reply = std::make_shared<base::reply_slot<bool>>();
  if (Implementation->Queue.post(Reply))
    Reply->wait(FlushTimeout);
}

std::uint64_t span_exporter::dropped() const {
  return Implementation ? Implementation->Dropped.load() : 0;
}

} // namespace fulmar::telemetry
