// Reference model of the document and the data centre states for differential
// tests. It is not replicated, and validates the text of the whole document on
// every edit.

#ifndef FULMAR_CONTROLSTATE_TESTS_NAIVEDOCUMENT_H
#define FULMAR_CONTROLSTATE_TESTS_NAIVEDOCUMENT_H

#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/replies.h"
#include "fulmar/document/document.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar::controlstate {

struct naive_document {
  std::map<std::string, std::vector<edit_command>> Edits;
  std::vector<std::string> Documents = {""};
  std::map<std::string, bool> InService;
  std::map<std::string, data_centre_command> Operations;

  static std::string textOf(const std::map<std::string, std::string> &Parts) {
    std::string Text;
    for (const auto &[Name, Content] : Parts)
      Text += (Text.empty() ? "[" : "\n[") + Name + "]\n" + Content;
    return Text;
  }

  [[nodiscard]] std::map<std::string, std::string> currentSections() const {
    std::map<std::string, std::string> Parts;
    for (const auto &[Name, Accepted] : Edits) {
      if (!Accepted.empty() && !Accepted.back().Content.empty())
        Parts[Name] = Accepted.back().Content;
    }
    return Parts;
  }

  edit_outcome edit(const edit_command &Edit) {
    std::vector<edit_command> &Accepted = Edits[Edit.Section];
    if (Edit.Number >= 1 && Edit.Number <= Accepted.size()) {
      const edit_command &First = Accepted[Edit.Number - 1];
      return First.Author == Edit.Author && First.Content == Edit.Content
                 ? edit_outcome::Accepted
                 : edit_outcome::Conflict;
    }
    auto Parts = currentSections();
    const bool Absent = !Parts.contains(Edit.Section);
    if (Edit.Number != Accepted.size() + 1 || (Edit.Content.empty() && Absent))
      return edit_outcome::Refused;
    Parts[Edit.Section] = Edit.Content;
    if (Edit.Content.empty())
      Parts.erase(Edit.Section);
    if (!document::document::check(textOf(Parts)).empty())
      return edit_outcome::Refused;
    Accepted.push_back(Edit);
    Documents.push_back(textOf(Parts));
    return edit_outcome::Accepted;
  }

  /// Returns the InService value that the reply to the operation must have.
  bool operate(const data_centre_command &Operation) {
    const bool Return = Operation.Action == data_centre_action::Return;
    if (Operations.emplace(Operation.OperationId, Operation).second)
      InService[Operation.Name] = Return;
    return Return;
  }

  [[nodiscard]] bool isIn(const std::string &Name) const {
    const auto Found = InService.find(Name);
    return Found == InService.end() || Found->second;
  }
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_TESTS_NAIVEDOCUMENT_H
