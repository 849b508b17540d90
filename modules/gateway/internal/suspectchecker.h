// Asks targets at which an attempt broke whether they still run.
//
// Placement leaves such a target alone, so without a question of its own an
// entry would hardly ever learn in time that the target has ended.

#ifndef FULMAR_GATEWAY_INTERNAL_SUSPECTCHECKER_H
#define FULMAR_GATEWAY_INTERNAL_SUSPECTCHECKER_H

#include "fulmar/eventloop/loop.h"
#include "fulmar/fleet/targetreport.h"

#include <map>
#include <memory>
#include <string>

namespace fulmar::gateway {

struct gateway_state;
struct service_state;

class suspect_checker {
public:
  explicit suspect_checker(gateway_state &Owner);

  /// Asks \p Target soon, and again while a suspicion rests on it.
  void add(const std::shared_ptr<service_state> &Service,
           const fleet::target_report &Target);

private:
  struct suspect {
    std::shared_ptr<service_state> Service;
    fleet::target_report Target;
  };

  void probeDue();

  gateway_state &State;
  /// By target id. A target that was taken off the list is asked nevertheless.
  std::map<std::string, suspect> Suspects;
  eventloop::timer Timer;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_SUSPECTCHECKER_H
