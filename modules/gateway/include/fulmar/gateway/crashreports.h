// Queue of reports to the control instances: crashed targets, and responses to
// quarantined requests.
//
// A message that is sent once gets lost when the network is partitioned, a
// leader is being elected or an instance restarts. Each report is therefore
// sent to one instance after the other until one of them confirms that it was
// counted. Instances ignore duplicates.

#ifndef FULMAR_GATEWAY_CRASHREPORTS_H
#define FULMAR_GATEWAY_CRASHREPORTS_H

#include "fulmar/base/time.h"
#include "fulmar/fleetlink/linkmessages.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace fulmar::gateway {

struct due_report {
  std::uint64_t Id = 0;
  /// Link address of the instance to send the report to.
  std::string Address;
  fleetlink::link_message Message;

  friend auto operator<=>(const due_report &, const due_report &) = default;
};

class crash_reports {
public:
  void add(controlstate::crash_command Crash, base::instant Now);
  void addAnsweredRequest(std::string Fingerprint, base::instant AnsweredAt,
                          base::instant Now);
  /// Removes a report that an instance has counted; unknown ids are ignored.
  void confirm(std::uint64_t Id);
  /// Returns the reports that are due now. \p Instances are the link addresses
  /// of the connected instances.
  std::vector<due_report> takeDue(const std::vector<std::string> &Instances,
                                  base::instant Now);

  [[nodiscard]] std::size_t size() const { return Pending.size(); }

private:
  struct answered_request {
    std::string Fingerprint;
    base::instant AnsweredAt{};
  };
  struct pending_report {
    std::uint64_t Id = 0;
    std::variant<controlstate::crash_command, answered_request> Content;
    base::instant CreatedAt{};
    base::instant DueAt{};
    std::size_t Attempts = 0;
  };

  void
  append(std::variant<controlstate::crash_command, answered_request> Content,
         base::instant Now);
  static fleetlink::link_message messageFor(const pending_report &Report,
                                            base::instant Now);

  /// Ordered by creation time; its length is limited.
  std::deque<pending_report> Pending;
  std::uint64_t LastId = 0;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_CRASHREPORTS_H
