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

std::string
control_state::requiredHash(const std::string &Section,
                            const std::string &Content,
                            const std::string &AdministratorHash) const {
  if (Section.starts_with(document::OwnerPrefix))
    return AdministratorHash;
  return hashOf(teamFor(Edits.inForce(), Section, Content));
}

std::string
control_state::requiredHashOfDataCentre(const std::string &Name) const {
  return hashOf(
      Edits.inForce().ownerOf(std::string(document::DataCentrePrefix) + Name));
}

token_proof
control_state::proveEdit(const std::string &Section, const std::string &Content,
                         std::string_view Token,
                         const std::string &AdministratorHash) const {
  return proveToken(Token, Section,
                    requiredHash(Section, Content, AdministratorHash));
}

token_proof control_state::proveDataCentre(const std::string &Name,
                                           std::string_view Token) const {
  return proveToken(Token, std::string(document::DataCentrePrefix) + Name,
                    requiredHashOfDataCentre(Name));
}

token_proof proveToken(std::string_view Token, const std::string &Section,
                       const std::string &RequiredHash) {
  if (Section.starts_with(document::OwnerPrefix))
    return {.Administrator = document::verifyToken(Token, RequiredHash)};
  return {.Hash = document::hashTokenLike(Token, RequiredHash)};
}

} // namespace fulmar::controlstate
