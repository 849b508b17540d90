// Test fixture: a control state with an owner and two data centres.

#ifndef FULMAR_CONTROLSTATE_TESTS_STATEFIXTURE_H
#define FULMAR_CONTROLSTATE_TESTS_STATEFIXTURE_H

#include "fulmar/controlstate/controlstate.h"
#include "fulmar/document/token.h"

#include <string>
#include <utility>

namespace fulmar::controlstate {

inline constexpr const char *TestToken = "team-token";
inline const std::string &testHash() {
  static const std::string Hash = document::hashToken(
      TestToken, "00112233445566778899", document::MinTokenIterations);
  return Hash;
}

inline std::string serviceText(const std::string &Variant) {
  return "owner = team\ndata_centres = pos, arima\nqueue_ms = " + Variant +
         "\n";
}

/// Applies commands to a state in the way the replicated log does, with
/// consecutive indexes.
struct state_fixture {
  control_state State;
  consensus::log_index Index = 0;
  std::int64_t WallMs = 1'000'000;

  reply run(command_body Body) {
    return State.applyCommand(++Index,
                              {.WallMs = WallMs, .Body = std::move(Body)});
  }

  edit_reply edit(const std::string &Section, std::uint64_t Number,
                  const std::string &Content,
                  const std::string &Author = "ann") {
    const token_proof Proof{.Administrator = Section.starts_with("owner."),
                            .Hash = testHash()};
    return std::get<edit_reply>(run(edit_command{.Author = Author,
                                                 .Section = Section,
                                                 .Number = Number,
                                                 .Content = Content,
                                                 .Proof = Proof}));
  }

  data_centre_reply dataCentre(const std::string &OperationId,
                               data_centre_action Action,
                               const std::string &Name = "pos") {
    return std::get<data_centre_reply>(
        run(data_centre_command{.OperationId = OperationId,
                                .Name = Name,
                                .Action = Action,
                                .Author = "ann",
                                .Proof = {.Hash = testHash()}}));
  }

  /// Adds one owner and two data centres as revisions 1 to 3.
  void prepare() {
    edit("owner.team", 1, "token_hash = " + testHash() + "\n");
    edit("data-centre.pos", 1, "owner = team\nregion = north\n");
    edit("data-centre.arima", 1, "owner = team\nregion = north\n");
  }
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_TESTS_STATEFIXTURE_H
