// Messages of the share.sync protocol: an entry reports its demand and its
// requests in flight to the owner of targets, which replies with grants.

#ifndef FULMAR_DIRECTORY_SHARETYPES_H
#define FULMAR_DIRECTORY_SHARETYPES_H

#include "fulmar/directory/directorytypes.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmar::directory {

/// Number of requests that an entry wants to have in flight at the targets of a
/// service.
struct service_demand {
  base::service_name Service;
  std::uint32_t Wanted = 0;

  friend auto operator<=>(const service_demand &,
                          const service_demand &) = default;
};

/// Number of requests that an entry has in flight at one incarnation of a
/// target.
struct target_in_flight {
  base::target_id Target;
  std::string Incarnation;
  std::uint32_t Count = 0;

  friend auto operator<=>(const target_in_flight &,
                          const target_in_flight &) = default;
};

/// An event that suggests that a target has become cold without announcing it.
enum class observation_kind : std::uint8_t {
  /// The target reset a connection.
  Reset,
  /// A response carried a different incarnation.
  IncarnationDiffers,
  /// The service time increased suddenly.
  Slow,
  /// The target refused requests although they were within the granted share.
  Shed,
};

struct observation {
  base::target_id Target;
  /// The incarnation that the entry assumed.
  std::string Incarnation;
  observation_kind Kind = observation_kind::Reset;
  /// The incarnation in the response; only set for IncarnationDiffers.
  std::string SeenIncarnation;

  friend auto operator<=>(const observation &, const observation &) = default;
};

/// Complete report of an entry about the targets of one owner.
struct share_request {
  base::instance_id Entry;
  /// Incarnation of the entry's process.
  std::string Incarnation;
  /// Increases with every request to this owner.
  std::uint64_t Sequence = 0;
  /// Highest sequence whose answer the entry has applied.
  std::uint64_t Applied = 0;
  /// Time on the entry's clock; the owner uses only differences.
  base::duration SentAt{};
  std::vector<service_demand> Demands;
  /// Targets that are not listed have no requests in flight.
  std::vector<target_in_flight> InFlight;
  std::vector<observation> Observations;

  friend auto operator<=>(const share_request &,
                          const share_request &) = default;
};

/// Permission to have requests in flight at one incarnation of a target.
struct grant {
  base::target_id Target;
  base::service_name Service;
  base::data_centre_name DataCentre;
  std::string Address;
  std::string Incarnation;
  target_state State = target_state::Cold;
  std::uint32_t Granted = 0;
  double Load = 0;
  base::duration ReportAge{};

  friend auto operator<=>(const grant &, const grant &) = default;
};

/// Replaces all grants that the owner has previously given to the entry.
struct share_answer {
  /// Sequence of the request that this answers.
  std::uint64_t Sequence = 0;
  std::vector<grant> Grants;

  friend auto operator<=>(const share_answer &, const share_answer &) = default;
};

Json::Value toJson(const share_request &Request);
Json::Value toJson(const share_answer &Answer);
/// Both fail with BadRequest; the message names every fault.
base::result<share_request> shareRequestFromJson(const Json::Value &Json);
base::result<share_answer> shareAnswerFromJson(const Json::Value &Json);

} // namespace fulmar::directory

#endif // FULMAR_DIRECTORY_SHARETYPES_H
