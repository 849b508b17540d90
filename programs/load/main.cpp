// fulmar-load: bounded load, checked answers, percentiles.

#include "loadrunner.h"

#include "fulmar/runtime/usage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <json/writer.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, service, "registry", "the service to ask for");
ABSL_FLAG(std::vector<std::string>, entries, {},
          "IP:PORT of entries to ask for addresses, comma-separated");
ABSL_FLAG(std::vector<std::string>, direct, {},
          "IP:PORT to use as they are, bypassing the entries");
ABSL_FLAG(std::uint64_t, count, 1000, "ends after so many requests");
ABSL_FLAG(int, duration_ms, 60000, "ends after this time at the latest");
ABSL_FLAG(double, rate, 0, "requests a second, open loop; 0: closed loop");
ABSL_FLAG(std::uint32_t, concurrency, 8, "workers, one request each");
ABSL_FLAG(double, post_share, 0, "part of the requests that are POST, 0 to 1");
ABSL_FLAG(bool, keys, true, "gives each POST an Idempotency-Key");
ABSL_FLAG(std::uint64_t, upload_bytes, 200, "bytes of each upload");
ABSL_FLAG(bool, chunked_uploads, false, "uploads without a Content-Length");
ABSL_FLAG(std::uint64_t, answer_bytes, 200, "bytes to ask for in each answer");
ABSL_FLAG(int, timeout_ms, 10000, "longest wait for an answer");
ABSL_FLAG(std::uint32_t, resends, 0,
          "further arrivals of a request that was not served");
ABSL_FLAG(int, max_retry_wait_ms, 5000, "bounds the Retry-After that is kept");
ABSL_FLAG(std::uint64_t, seed, 1, "draws the mix and the tags");
ABSL_FLAG(bool, json, false, "prints JSON");

namespace {

using namespace fulmar::load;
using std::chrono::milliseconds;

load_options readOptions() {
  return {.Service = absl::GetFlag(FLAGS_service),
          .Entries = absl::GetFlag(FLAGS_entries),
          .Direct = absl::GetFlag(FLAGS_direct),
          .Count = absl::GetFlag(FLAGS_count),
          .Duration = milliseconds(absl::GetFlag(FLAGS_duration_ms)),
          .Rate = absl::GetFlag(FLAGS_rate),
          .Concurrency = absl::GetFlag(FLAGS_concurrency),
          .PostShare = absl::GetFlag(FLAGS_post_share),
          .Keys = absl::GetFlag(FLAGS_keys),
          .UploadBytes = absl::GetFlag(FLAGS_upload_bytes),
          .ChunkedUploads = absl::GetFlag(FLAGS_chunked_uploads),
          .AnswerBytes = absl::GetFlag(FLAGS_answer_bytes),
          .Timeout = milliseconds(absl::GetFlag(FLAGS_timeout_ms)),
          .Resends = absl::GetFlag(FLAGS_resends),
          .MaxRetryWait = milliseconds(absl::GetFlag(FLAGS_max_retry_wait_ms)),
          .Seed = absl::GetFlag(FLAGS_seed)};
}

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  fulmar::runtime::setUsage(
      "fulmar-load",
      "Sends a bounded load and checks each answer. Example: fulmar-load "
      "--entries=127.0.0.1:8001 --service=registry --count=10000",
      "main.cpp");
  absl::ParseCommandLine(Argc, Argv);
  const load_options Options = readOptions();
  if (Options.Entries.empty() && Options.Direct.empty()) {
    std::cerr << "name addresses with --entries or --direct; see --help\n";
    return 2;
  }
  const load_result Result = load_runner(Options).run();
  if (absl::GetFlag(FLAGS_json))
    std::cout << Result.Report.toJson(Result.Elapsed).toStyledString();
  else
    std::cout << Result.Report.toText(Result.Elapsed);
  return Result.Report.sound() ? 0 : 1;
}
