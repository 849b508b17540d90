// Tells subscribers of a state change, on the thread that made the change.

#ifndef FULMAR_BASE_NOTIFIER_H
#define FULMAR_BASE_NOTIFIER_H

#include <functional>
#include <utility>
#include <vector>

namespace fulmar::base {

/// Not thread-safe: owned by the task whose state it announces.
template <typename... Arguments> class notifier {
public:
  using callback = std::function<void(const Arguments &...)>;

  void subscribe(callback Callback) {
    Callbacks.push_back(std::move(Callback));
  }

  void notify(const Arguments &...Values) const {
    for (const callback &Callback : Callbacks)
      Callback(Values...);
  }

private:
  std::vector<callback> Callbacks;
};

} // namespace fulmar::base

#endif // FULMAR_BASE_NOTIFIER_H
