// One probe of a target: a health request over the connection that the actual
// request would use.

#ifndef FULMAR_GATEWAY_INTERNAL_TARGETPROBE_H
#define FULMAR_GATEWAY_INTERNAL_TARGETPROBE_H

#include "fulmar/placement/loadreport.h"
#include "internal/gatewaystate.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmar::gateway {

/// Builds the health request for \p Target.
target_call healthCall(const fleet::service &Service,
                       const fleet::target_report &Target);

class target_probe : public std::enable_shared_from_this<target_probe> {
public:
  target_probe(gateway_state &Owner, service_ptr ProbedService,
               const fleet::target_report &Report);

  /// Calls \p Done once, now or later. Continues after release(), so that the
  /// connection can be returned to the pool.
  void start(std::function<void()> Done);
  /// Same as start(), but over a new connection: a pooled one may have been
  /// lost with an earlier incarnation of the target, which says nothing about
  /// the current one.
  void startOnNewConnection();
  /// The owner no longer needs the connection.
  void release();

  [[nodiscard]] const std::string &target() const { return Target.Id; }
  /// The target responded, is healthy and has the expected id.
  [[nodiscard]] bool healthy() const { return Healthy; }
  [[nodiscard]] bool done() const { return Finished; }
  [[nodiscard]] const placement::load_report &load() const { return Load; }
  /// Requests sent to the target by this entry since it responded.
  [[nodiscard]] placement::unreported_requests unreportedRequests() const;
  [[nodiscard]] base::instant answeredAt() const { return AnsweredAt; }
  /// Transfers ownership of the connection; the probe can't be used afterwards.
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
  placement::unreported_requests InFlightAtAnswer = 0;
  base::instant SentAt{};
  bool Healthy = false;
  bool Finished = false;
  bool Released = false;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_TARGETPROBE_H
