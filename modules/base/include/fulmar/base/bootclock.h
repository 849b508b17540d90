// The clock of processes whose machine may be suspended: it goes on while the
// machine sleeps, so that a lease or a proof can't outlive a suspension.

#ifndef FULMAR_BASE_BOOTCLOCK_H
#define FULMAR_BASE_BOOTCLOCK_H

#include "fulmar/base/time.h"

#include <ctime>

namespace fulmar::base {

/// CLOCK_BOOTTIME: monotonic, and counts the time of a suspension.
class boot_clock final : public iclock {
public:
  [[nodiscard]] instant now() const override {
    timespec Read{};
    clock_gettime(CLOCK_BOOTTIME, &Read);
    return instant(std::chrono::duration_cast<duration>(
        std::chrono::seconds(Read.tv_sec) +
        std::chrono::nanoseconds(Read.tv_nsec)));
  }
};

} // namespace fulmar::base

#endif // FULMAR_BASE_BOOTCLOCK_H
