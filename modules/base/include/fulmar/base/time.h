// Time as the decision modules see it: monotonic, passed in by the caller.

#ifndef FULMAR_BASE_TIME_H
#define FULMAR_BASE_TIME_H

#include <chrono>

namespace fulmar::base {

/// A monotonic clock whose origin means nothing outside the process.
struct monotonic_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;
};

using instant = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// Tells the time. Decision modules take an instant instead.
class iclock {
public:
  virtual ~iclock() = default;
  [[nodiscard]] virtual instant now() const = 0;
};

/// The machine's steady clock.
class steady_clock final : public iclock {
public:
  [[nodiscard]] instant now() const override {
    return instant(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/// A clock that stands still until moved; for tests.
class manual_clock final : public iclock {
public:
  [[nodiscard]] instant now() const override { return Now; }
  void advance(duration Step) { Now += Step; }

private:
  instant Now{};
};

} // namespace fulmar::base

#endif // FULMAR_BASE_TIME_H
