// Value types of the directory: target announcements, published members, and
// the policies that limit permissions and capacity.

#ifndef FULMAR_DIRECTORY_DIRECTORYTYPES_H
#define FULMAR_DIRECTORY_DIRECTORYTYPES_H

#include "fulmar/base/identifier.h"
#include "fulmar/base/result.h"
#include "fulmar/base/time.h"

#include <json/value.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace fulmar::directory {

enum class target_state : std::uint8_t { Cold, Warm, Draining };

/// Status that a target announces about once per second.
struct announcement {
  /// Belongs to one data centre for good.
  base::target_id Id;
  base::service_name Service;
  base::data_centre_name DataCentre;
  /// IP:PORT.
  std::string Address;
  /// Changes whenever the target restarts.
  std::string Incarnation;
  target_state State = target_state::Cold;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  /// Requests in flight that the target can currently handle.
  std::uint32_t MaxInFlight = 0;
  /// Utilisation from 0 (idle) to 1 (saturated).
  double Load = 0;
  std::uint32_t InFlight = 0;
  /// Increases within an incarnation, which allows late announcements to be
  /// recognised; 0 if the target does not number its announcements.
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const announcement &, const announcement &) = default;
};

Json::Value toJson(const announcement &Announcement);
/// Fails with BadRequest; the message names every fault.
base::result<announcement> announcementFromJson(const Json::Value &Json);

/// An entry, as published under member/ID.
struct member {
  /// Belongs to one data centre for good.
  base::instance_id Id;
  std::string Incarnation;
  base::data_centre_name DataCentre;
  /// Empty if the instances are not grouped into regions.
  std::string Region;
  /// IP:PORT for callers.
  std::string Address;
  /// IP:PORT for the system's own processes.
  std::string RpcAddress;
  /// The instance is shutting down gracefully: it owns no targets and accepts
  /// no new callers.
  bool Stopping = false;

  friend auto operator<=>(const member &, const member &) = default;
};

Json::Value toJson(const member &Member);
/// Fails with BadRequest; the message names every fault.
base::result<member> memberFromJson(const Json::Value &Json);

/// Limits of the targets of one service.
struct service_policy {
  std::uint32_t InFlightPerSlot = 1;
  /// Time from the "warm" announcement until the full limit applies.
  base::duration ColdRamp = std::chrono::seconds(10);
  /// Processing time per second that probes may use at a target, over all
  /// entries.
  base::duration ProbeBudgetPerSecond = std::chrono::milliseconds(10);

  friend auto operator<=>(const service_policy &,
                          const service_policy &) = default;
};

/// Time limits of permissions. Must be identical on all instances.
struct permission_policy {
  /// Maximum age of the quorum proof at which an instance may start new work.
  base::duration Permission = std::chrono::milliseconds(4000);
  /// Validity of a grant, measured from when the entry sent its request.
  base::duration Grant = std::chrono::milliseconds(1000);
  /// A target that announces nothing for this time is considered gone.
  base::duration AnnouncementLease = std::chrono::milliseconds(3000);

  friend auto operator<=>(const permission_policy &,
                          const permission_policy &) = default;
};

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_DIRECTORYTYPES_H
