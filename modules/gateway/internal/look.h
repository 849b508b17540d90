// One look at a target: a health request on the connection that the real
// request would take.

#ifndef FULMAR_GATEWAY_INTERNAL_LOOK_H
#define FULMAR_GATEWAY_INTERNAL_LOOK_H

#include "fulmar/placement/loadreport.h"
#include "internal/gatewaystate.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmar::gateway {

/// The health request to \p Target.
target_call healthCall(const fleet::service &Service,
                       const fleet::target_report &Target);

class look : public std::enable_shared_from_this<look> {
public:
  look(gateway_state &Owner, service_ptr Looked,
       const fleet::target_report &At);

  /// Calls \p Done once, now or later. Goes on after release(), so that its
  /// connection can be kept.
  void start(std::function<void()> Done);
  /// The same over a connection of its own: a kept one may have been lost with
  /// the target, which says nothing of the present.
  void startAnew();
  /// The asker needs the connection no more.
  void release();

  [[nodiscard]] const std::string &target() const { return Target.Id; }
  /// The target answered, is healthy, and is who it should be.
  [[nodiscard]] bool good() const { return Good; }
  [[nodiscard]] bool done() const { return Finished; }
  [[nodiscard]] const placement::load_report &load() const { return Load; }
  /// Requests of this entry that were sent there since it answered.
  [[nodiscard]] placement::unreported_requests hidden() const;
  [[nodiscard]] base::instant answeredAt() const { return AnsweredAt; }
  /// Hands the connection over; the look is used up.
  channel_ptr takeChannel();

private:
  void ask();
  void onAnswer(const base::result<target_answer> &Answer);
  void onSilence();
  void readLoad(const http::fields &Fields);
  void finish();

  gateway_state &State;
  service_ptr Service;
  fleet::target_report Target;
  channel_ptr Channel;
  std::function<void()> OnDone;
  eventloop::timer Silence;
  placement::load_report Load;
  base::instant AnsweredAt{};
  placement::unreported_requests InFlightThen = 0;
  base::instant AskedAt{};
  bool Good = false;
  bool Finished = false;
  bool Released = false;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_LOOK_H
