// The current document and the history of its accepted edits.
//
// Each section numbers its accepted edits from 1, and an edit states the number
// it will get. Numbering continues when a section is removed and added again,
// so (section, number) identifies one accepted edit permanently. The reply to
// an edit depends on its number:
//   * already used by an edit with the same author and content: the original
//     reply is returned again;
//   * already used by a different edit: a conflict, with the section's current
//     content;
//   * the next number: the edit is validated and, if valid, accepted;
//   * 0 or beyond the next number: the edit is refused.
// Refusals are not stored. A refused edit changes nothing and may be sent again
// with the same number.

#ifndef FULMAR_CONTROLSTATE_EDITLOG_H
#define FULMAR_CONTROLSTATE_EDITLOG_H

#include "fulmar/controlstate/commands.h"
#include "fulmar/controlstate/replies.h"
#include "fulmar/document/document.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::controlstate {

/// An accepted edit.
struct edit_record {
  std::uint64_t Revision = 0;
  /// Index of the log entry that accepted the edit.
  std::uint64_t Serial = 0;
  std::string Section;
  std::uint64_t Number = 0;
  std::string Author;
  std::string Content;

  friend auto operator<=>(const edit_record &, const edit_record &) = default;
};

class edit_log {
public:
  /// The reply that follows from the edit's number alone: the original reply, a
  /// conflict or a refusal. Empty for the next number, whose edit must be
  /// validated.
  [[nodiscard]] std::optional<edit_reply>
  replyByNumber(const edit_command &Edit) const;
  /// The refusal of an edit that would make the document invalid; empty if the
  /// edit is valid.
  [[nodiscard]] std::optional<edit_reply>
  validationFailure(const edit_command &Edit) const;
  /// Accepts a valid edit that has the section's next number.
  edit_reply accept(std::uint64_t Serial, const edit_command &Edit);

  [[nodiscard]] const document::document &currentDocument() const {
    return CurrentDocument;
  }
  /// Number of accepted edits of all sections.
  [[nodiscard]] std::uint64_t revision() const { return Records.size(); }
  /// Number of the section's last accepted edit; 0 if it has none.
  [[nodiscard]] std::uint64_t currentNumber(const std::string &Section) const;

  /// Content of a section at \p Revision; NotFound if the section did not
  /// exist then.
  [[nodiscard]] base::result<std::string>
  sectionAt(const std::string &Section, std::uint64_t Revision) const;
  /// The whole document at \p Revision; NotFound if there is no such revision.
  [[nodiscard]] base::result<std::string>
  documentAt(std::uint64_t Revision) const;
  /// The last \p Limit accepted edits of \p Section, or of all sections if it
  /// is empty, newest first.
  [[nodiscard]] std::vector<edit_record> history(const std::string &Section,
                                                 std::size_t Limit) const;

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  [[nodiscard]] const edit_record *recordAt(const std::string &Section,
                                            std::uint64_t Revision) const;
  void append(edit_record Record);

  document::document CurrentDocument;
  /// The record of revision R is at index R - 1.
  std::vector<edit_record> Records;
  /// Revisions of each section's edits; edit number N is at index N - 1.
  std::map<std::string, std::vector<std::uint64_t>> SectionRevisions;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_EDITLOG_H
