// Appends log lines to standard output without ever waiting for its reader:
// a line that does not fit is dropped and counted.

#ifndef FULMAR_TELEMETRY_INTERNAL_STANDARDOUTPUT_H
#define FULMAR_TELEMETRY_INTERNAL_STANDARDOUTPUT_H

#include <log4cxx/appenderskeleton.h>

#include <cstdint>

namespace fulmar::telemetry {

class standard_output final : public log4cxx::AppenderSkeleton {
public:
  explicit standard_output(const log4cxx::LayoutPtr &Chosen);

  void close() override {}
  [[nodiscard]] bool requiresLayout() const override { return true; }
  /// Writes to \p Descriptor instead; for tests.
  void writeTo(int Descriptor) { Output = Descriptor; }

private:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override;

  /// The base class does not hand its own out while it appends.
  log4cxx::LayoutPtr Format;
  int Output = 1;
  /// Lines that were dropped since the last one that was written.
  std::uint64_t Dropped = 0;
};

} // namespace fulmar::telemetry

#endif // FULMAR_TELEMETRY_INTERNAL_STANDARDOUTPUT_H
