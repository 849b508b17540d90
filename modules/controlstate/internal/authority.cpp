// Decides whose token may change what.

#include "fulmar/controlstate/controlstate.h"

#include "fulmar/document/ownerinfo.h"
#include "fulmar/document/token.h"

namespace fulmar::controlstate {

namespace {

std::string ownerSection(const std::string &Team) {
  return std::string(document::OwnerPrefix) + Team;
}

/// The team whose token an edit needs: the owner in force, or for a new
/// section the owner that it names.
std::string teamFor(const document::document &InForce,
                    const std::string &Section, const std::string &Content) {
  return InForce.find(Section) != nullptr
             ? InForce.ownerOf(Section)
             : document::document::ownerIn(Content);
}

} // namespace

std::string control_state::hashOf(const std::string &Team) const {
  const std::string *Content = Edits.inForce().find(ownerSection(Team));
  if (Content == nullptr)
    return {};
  const auto Owner = document::parseOwner(*Content);
  return Owner ? Owner.value().TokenHash : std::string();
}

bool control_state::ownsHash(const std::string &Team,
                             const token_proof &Proof) const {
  const std::string Hash = hashOf(Team);
  return !Hash.empty() && document::equalInConstantTime(Hash, Proof.Hash);
}

bool control_state::mayEdit(const edit_command &Edit) const {
  if (Edit.Section.starts_with(document::OwnerPrefix))
    return Edit.Proof.Administrator;
  return ownsHash(teamFor(Edits.inForce(), Edit.Section, Edit.Content),
                  Edit.Proof);
}

token_proof
control_state::proveEdit(const std::string &Section, const std::string &Content,
                         std::string_view Token,
                         const std::string &AdministratorHash) const {
  if (Section.starts_with(document::OwnerPrefix))
    return {.Administrator = document::verifyToken(Token, AdministratorHash)};
  const std::string Team = teamFor(Edits.inForce(), Section, Content);
  return {.Hash = document::hashTokenLike(Token, hashOf(Team))};
}

token_proof control_state::proveDataCentre(const std::string &Name,
                                           std::string_view Token) const {
  const std::string Team =
      Edits.inForce().ownerOf(std::string(document::DataCentrePrefix) + Name);
  return {.Hash = document::hashTokenLike(Token, hashOf(Team))};
}

} // namespace fulmar::controlstate
