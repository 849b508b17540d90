// One look at a target: a health request on the connection that the real
// request would take.

#ifndef FULMAR_GATEWAY_INTERNAL_TARGETPROBE_H
#define FULMAR_GATEWAY_INTERNAL_TARGETPROBE_H

#include "fulmar/placement/loadreport.h"
#include "internal/gatewaystate.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmar::gateway {

/// The health request to \p Target.
target_call healthCall(const fleet::service &Service,
                       const fleet::target_report &Target);

class target_probe : public std::enable_shared_from_this<target_probe> {
public:
  target_probe(gateway_state &Owner, service_ptr ProbedService,
               const fleet::target_report &Report);

  /// Calls \p Done once, now or later. Goes on after release(), so that its
  /// connection can be kept.
  void start(std::function<void()> Done);
  /// The same over a connection of its own: a kept one may have been lost with
  /// the target, which says nothing of the present.
  void startOnNewConnection();
  /// The asker needs the connection no more.
  void release();

  [[nodiscard]] const std::string &target() const { return Target.Id; }
  /// The target answered, is healthy, and is who it should be.
  [[nodiscard]] bool healthy() const { return Healthy; }
  [[nodiscard]] bool done() const { return Finished; }
  [[nodiscard]] const placement::load_report &load() const { return Load; }
  /// Requests of this entry that were sent there since it answered.
  [[nodiscard]] placement::hidden_requests unreportedRequests() const;
  [[nodiscard]] base::instant answeredAt() const { return AnsweredAt; }
  /// Hands the connection over; the look is used up.
  connection_ptr takeConnection();

private:
  void sendProbe();
  void onResponse(const base::result<target_response> &Response);
  void onTimeout();
  void readLoad(const http::fields &Fields);
  void finish();

  gateway_state &State;
  service_ptr Service;
  fleet::target_report Target;
  connection_ptr Connection;
  std::function<void()> OnDone;
  eventloop::timer TimeoutTimer;
  placement::load_report Load;
  base::instant AnsweredAt{};
  placement::hidden_requests InFlightAtAnswer = 0;
  base::instant SentAt{};
  bool Healthy = false;
  bool Finished = false;
  bool Released = false;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_TARGETPROBE_H
