// Writes a line if the descriptor takes it at once.

#include "internal/standardoutput.h"

#include <log4cxx/layout.h>

#include <poll.h>
#include <unistd.h>

#include <string>

namespace fulmar::telemetry {

namespace {

/// A pipe that is writable takes this much in one write without waiting.
constexpr std::size_t MaxLineBytes = 4'096;

bool isWritable(int Descriptor) {
  pollfd Asked{.fd = Descriptor, .events = POLLOUT, .revents = 0};
  return ::poll(&Asked, 1, 0) == 1 && (Asked.revents & POLLOUT) != 0;
}

} // namespace

standard_output::standard_output(const log4cxx::LayoutPtr &Chosen)
    : AppenderSkeleton(Chosen), Format(Chosen) {}

void standard_output::append(const log4cxx::spi::LoggingEventPtr &Event,
                             log4cxx::helpers::Pool &Pool) {
  log4cxx::LogString Line;
  Format->format(Line, Event, Pool);
  if (Dropped > 0 && !Line.empty()) {
    Line.pop_back();
    Line += " dropped_before=" + std::to_string(Dropped) + "\n";
  }
  if (Line.size() > MaxLineBytes) {
    Line.resize(MaxLineBytes - 1);
    Line += '\n';
  }
  if (!isWritable(Output) || ::write(Output, Line.data(), Line.size()) !=
                                 static_cast<ssize_t>(Line.size())) {
    ++Dropped;
    return;
  }
  Dropped = 0;
}

} // namespace fulmar::telemetry
