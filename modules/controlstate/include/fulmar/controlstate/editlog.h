// The document in force with the history of its accepted edits.
//
// The rule for numbers: every section counts its accepted edits, and an edit
// carries the number that it creates. The count goes on when a section is
// removed and made again, so that (section, number) names one accepted edit
// for ever.
//   * number taken, by the same author with the same content: the edit's first
//     answer again;
//   * number taken otherwise: a conflict that names what took it;
//   * number in force plus one: checked and, when sound, accepted;
//   * any higher number: refused.
// Refusals are not remembered: they changed nothing and the edit may be sent
// again under the same number.

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

/// One accepted edit.
struct edit_record {
  std::uint64_t Revision = 0;
  /// Log index that accepted it.
  std::uint64_t Serial = 0;
  std::string Section;
  std::uint64_t Number = 0;
  std::string Author;
  std::string Content;

  friend auto operator<=>(const edit_record &, const edit_record &) = default;
};

class edit_log {
public:
  /// The answer that needs no check: a first answer again, a conflict, or a
  /// refusal of the number. Empty when the number is the next one.
  [[nodiscard]] std::optional<edit_reply>
  replyByNumber(const edit_command &Edit) const;
  /// The refusal of an edit that would leave the document unsound.
  [[nodiscard]] std::optional<edit_reply>
  validationFailure(const edit_command &Edit) const;
  /// Accepts a sound edit that carries the next number.
  edit_reply accept(std::uint64_t Serial, const edit_command &Edit);

  [[nodiscard]] const document::document &currentDocument() const {
    return CurrentDocument;
  }
  /// Number of accepted edits of the document.
  [[nodiscard]] std::uint64_t revision() const { return Records.size(); }
  /// Number of accepted edits of a section.
  [[nodiscard]] std::uint64_t currentNumber(const std::string &Section) const;

  /// A section's content as of \p Revision; NotFound when it was absent.
  [[nodiscard]] base::result<std::string>
  sectionAt(const std::string &Section, std::uint64_t Revision) const;
  /// The whole document as of \p Revision.
  [[nodiscard]] base::result<std::string>
  documentAt(std::uint64_t Revision) const;
  /// The last \p Limit accepted edits, newest first; of all sections when
  /// \p Section is empty.
  [[nodiscard]] std::vector<edit_record> history(const std::string &Section,
                                                 std::size_t Limit) const;

  [[nodiscard]] std::string encode() const;
  base::result<void> decode(std::string_view Encoded);

private:
  [[nodiscard]] const edit_record *recordAt(const std::string &Section,
                                            std::uint64_t Revision) const;
  void append(edit_record Record);

  document::document CurrentDocument;
  /// The record of revision R stands at R - 1.
  std::vector<edit_record> Records;
  /// Revisions of each section; number N stands at N - 1.
  std::map<std::string, std::vector<std::uint64_t>> SectionRevisions;
};

} // namespace fulmar::controlstate

#endif // FULMAR_CONTROLSTATE_EDITLOG_H
