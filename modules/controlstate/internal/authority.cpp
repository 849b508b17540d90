// Authorization: which token allows which command.

#include "fulmar/controlstate/controlstate.h"

#include "fulmar/document/ownerinfo.h"
#include "fulmar/document/token.h"

namespace fulmar::controlstate {

namespace {

std::string ownerSection(const std::string &Team) {
  return std::string(document::OwnerPrefix) + Team;
}

/// The team whose token is required to edit a section: the current owner or,
/// for a new section, the owner named in its content.
std::string requiredTeam(const document::document &Document,
                         const std::string &Section,
                         const std::string &Content) {
  return Document.find(Section) != nullptr
             ? Document.ownerOf(Section)
             : document::document::ownerIn(Content);
}

} // namespace

std::string control_state::teamTokenHash(const std::string &Team) const {
  const std::string *Content = Edits.currentDocument().find(ownerSection(Team));
  if (Content == nullptr)
    return {};
  const auto Owner = document::parseOwner(*Content);
  return Owner ? Owner.value().TokenHash : std::string();
}

bool control_state::matchesTeamToken(const std::string &Team,
                                     const token_proof &Proof) const {
  const std::string Hash = teamTokenHash(Team);
  return !Hash.empty() && document::equalInConstantTime(Hash, Proof.Hash);
}

bool control_state::mayEdit(const edit_command &Edit) const {
  if (Edit.Section.starts_with(document::OwnerPrefix))
    return Edit.Proof.Administrator;
  return matchesTeamToken(
      requiredTeam(Edits.currentDocument(), Edit.Section, Edit.Content),
      Edit.Proof);
}

std::string
control_state::requiredHash(const std::string &Section,
                            const std::string &Content,
                            const std::string &AdministratorHash) const {
  if (Section.starts_with(document::OwnerPrefix))
    return AdministratorHash;
  return teamTokenHash(requiredTeam(Edits.currentDocument(), Section, Content));
}

std::string
control_state::requiredHashOfDataCentre(const std::string &Name) const {
  return teamTokenHash(Edits.currentDocument().ownerOf(
      std::string(document::DataCentrePrefix) + Name));
}

token_proof
control_state::makeEditProof(const std::string &Section,
                             const std::string &Content, std::string_view Token,
                             const std::string &AdministratorHash) const {
  return makeTokenProof(Token, Section,
                        requiredHash(Section, Content, AdministratorHash));
}

token_proof control_state::makeDataCentreProof(const std::string &Name,
                                               std::string_view Token) const {
  return makeTokenProof(Token, std::string(document::DataCentrePrefix) + Name,
                        requiredHashOfDataCentre(Name));
}

token_proof makeTokenProof(std::string_view Token, const std::string &Section,
                           const std::string &RequiredHash) {
  if (Section.starts_with(document::OwnerPrefix))
    return {.Administrator = document::verifyToken(Token, RequiredHash)};
  return {.Hash = document::hashTokenLike(Token, RequiredHash)};
}

} // namespace fulmar::controlstate
