// Validation, acceptance and lookup of document edits.

#include "fulmar/controlstate/editlog.h"

#include "fulmar/claims/packing.h"

#include <algorithm>

namespace fulmar::controlstate {

static auto fieldsOf(edit_record &Item) {
  return std::tie(Item.Revision, Item.Serial, Item.Section, Item.Number,
                  Item.Author, Item.Content);
}

namespace {

edit_reply originalReply(const edit_record &Record) {
  return {.Outcome = edit_outcome::Accepted,
          .Revision = Record.Revision,
          .Serial = Record.Serial,
          .CurrentNumber = Record.Number};
}

} // namespace

std::optional<edit_reply>
edit_log::replyByNumber(const edit_command &Edit) const {
  const std::uint64_t Current = currentNumber(Edit.Section);
  const std::string Next = std::to_string(Current + 1);
  if (Edit.Number == Current + 1)
    return std::nullopt;
  if (Edit.Number > Current || Edit.Number == 0)
    return edit_reply{.Outcome = edit_outcome::Refused,
                      .Revision = revision(),
                      .Message = "the next number of " + Edit.Section + " is " +
                                 Next + ", not " + std::to_string(Edit.Number),
                      .CurrentNumber = Current};
  const std::vector<std::uint64_t> &Revisions =
      SectionRevisions.at(Edit.Section);
  const edit_record &Existing = Records[Revisions[Edit.Number - 1] - 1];
  if (Existing.Author == Edit.Author && Existing.Content == Edit.Content) {
    edit_reply First = originalReply(Existing);
    First.Repeated = true;
    return First;
  }
  const edit_record &CurrentRecord = Records[Revisions.back() - 1];
  return edit_reply{
      .Outcome = edit_outcome::Conflict,
      .Revision = revision(),
      .Message = "number " + std::to_string(Edit.Number) + " of " +
                 Edit.Section + " was taken by " + Existing.Author +
                 "; look at what is in force and edit again as number " + Next,
      .CurrentNumber = Current,
      .CurrentContent = CurrentRecord.Content,
      .CurrentAuthor = CurrentRecord.Author};
}

std::optional<edit_reply>
edit_log::validationFailure(const edit_command &Edit) const {
  const document::fault_list Faults =
      CurrentDocument.checkEdit(Edit.Section, Edit.Content);
  if (Faults.empty())
    return std::nullopt;
  return edit_reply{.Outcome = edit_outcome::Refused,
                    .Revision = revision(),
                    .Message = document::toText(Faults),
                    .CurrentNumber = currentNumber(Edit.Section)};
}

edit_reply edit_log::accept(std::uint64_t Serial, const edit_command &Edit) {
  append({.Revision = revision() + 1,
          .Serial = Serial,
          .Section = Edit.Section,
          .Number = Edit.Number,
          .Author = Edit.Author,
          .Content = Edit.Content});
  CurrentDocument.put(Edit.Section, Edit.Content);
  return originalReply(Records.back());
}

void edit_log::append(edit_record Record) {
  SectionRevisions[Record.Section].push_back(Record.Revision);
  Records.push_back(std::move(Record));
}

std::uint64_t edit_log::currentNumber(const std::string &Section) const {
  const auto Found = SectionRevisions.find(Section);
  return Found == SectionRevisions.end() ? 0 : Found->second.size();
}

const edit_record *edit_log::recordAt(const std::string &Section,
                                      std::uint64_t Revision) const {
  const auto Found = SectionRevisions.find(Section);
  if (Found == SectionRevisions.end())
    return nullptr;
  const auto After =
      std::upper_bound(Found->second.begin(), Found->second.end(), Revision);
  return After == Found->second.begin() ? nullptr : &Records[*(After - 1) - 1];
}

base::result<std::string> edit_log::sectionAt(const std::string &Section,
                                              std::uint64_t Revision) const {
  const edit_record *Record = recordAt(Section, Revision);
  if (Record == nullptr || Record->Content.empty())
    return base::fail(base::error_kind::NotFound, "no section " + Section +
                                                      " at revision " +
                                                      std::to_string(Revision));
  return Record->Content;
}

base::result<std::string> edit_log::documentAt(std::uint64_t Revision) const {
  if (Revision > revision())
    return base::fail(base::error_kind::NotFound,
                      "no revision " + std::to_string(Revision) +
                          "; the last one is " + std::to_string(revision()));
  std::string Text;
  for (const auto &[Section, Revisions] : SectionRevisions) {
    const edit_record *Record = recordAt(Section, Revision);
    if (Record != nullptr && !Record->Content.empty())
      document::document::appendSection(Text, Section, Record->Content);
  }
  return Text;
}

std::vector<edit_record> edit_log::history(const std::string &Section,
                                           std::size_t Limit) const {
  std::vector<edit_record> Newest;
  if (Section.empty()) {
    const std::size_t Count = std::min(Limit, Records.size());
    Newest.assign(Records.rbegin(),
                  Records.rbegin() + static_cast<std::ptrdiff_t>(Count));
    return Newest;
  }
  const auto Found = SectionRevisions.find(Section);
  if (Found == SectionRevisions.end())
    return Newest;
  for (auto Revision = Found->second.rbegin();
       Revision != Found->second.rend() && Newest.size() < Limit; ++Revision)
    Newest.push_back(Records[*Revision - 1]);
  return Newest;
}

std::string edit_log::encode() const { return claims::packValue(Records); }

base::result<void> edit_log::decode(std::string_view Encoded) {
  BOOST_OUTCOME_TRY(Decoded,
                    claims::unpackValue<std::vector<edit_record>>(Encoded));
  edit_log Restored;
  for (edit_record &Record : Decoded) {
    const bool InOrder =
        Record.Revision == Restored.revision() + 1 &&
        Record.Number == Restored.currentNumber(Record.Section) + 1;
    if (!InOrder)
      return base::fail(base::error_kind::Corrupt,
                        "the edit history has a gap");
    Restored.append(std::move(Record));
  }
  for (const auto &[Section, Revisions] : Restored.SectionRevisions)
    Restored.CurrentDocument.put(
        Section, Restored.Records[Revisions.back() - 1].Content);
  *this = std::move(Restored);
  return base::success();
}

} // namespace fulmar::controlstate
