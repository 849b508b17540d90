// Changes of the membership, counted by the epoch.

#include "fulmar/controlstate/membertable.h"

#include "fulmar/controlstate/commandpacking.h"

namespace fulmar::controlstate {

std::string member_table::join(const member_report &Report) {
  member_report &Member = Members[Report.Id];
  if (Member == Report)
    return {};
  std::string Replaced =
      Member.Incarnation == Report.Incarnation ? "" : Member.Incarnation;
  Member = Report;
  ++Epoch;
  return Replaced;
}

bool member_table::expire(const std::string &Id,
                          const std::string &Incarnation) {
  if (!contains(Id, Incarnation))
    return false;
  Members.erase(Id);
  ++Epoch;
  return true;
}

bool member_table::contains(const std::string &Id,
                            const std::string &Incarnation) const {
  const auto Found = Members.find(Id);
  return Found != Members.end() && Found->second.Incarnation == Incarnation;
}

std::string member_table::encode() const {
  return claims::packValue(std::make_tuple(Members, Epoch));
}

base::result<void> member_table::decode(std::string_view Encoded) {
  using tables =
      std::tuple<std::map<std::string, member_report>, std::uint64_t>;
  BOOST_OUTCOME_TRY(Decoded, claims::unpackValue<tables>(Encoded));
  std::tie(Members, Epoch) = std::move(Decoded);
  return base::success();
}

} // namespace fulmar::controlstate
