// Keeps the sections and checks edits against each other.

#include "fulmar/document/document.h"

#include "fulmar/document/keyspec.h"
#include "keycheck.h"
#include "sectiontext.h"

#include <algorithm>
#include <array>

namespace fulmar::document {

namespace {

struct kind_limit {
  section_kind Kind;
  std::size_t MaxCount;
};

constexpr std::array<kind_limit, 4> Limits = {
    {{section_kind::Service, MaxServices},
     {section_kind::DataCentre, MaxDataCentres},
     {section_kind::Policy, MaxPolicies},
     {section_kind::Owner, MaxOwners}}};

constexpr const char *ExpectedName =
    "a section named service.NAME, data-centre.NAME, policy.NAME or owner.TEAM";

std::size_t limitOf(section_kind Kind) {
  const auto *Found =
      std::find_if(Limits.begin(), Limits.end(),
                   [&](const kind_limit &Limit) { return Limit.Kind == Kind; });
  return Found->MaxCount;
}

fault countFault(const std::string &Section, section_kind Kind) {
  return {Section, "", "",
          "at most " + std::to_string(limitOf(Kind)) +
              " sections of this kind"};
}

value_map checkContent(const section_name &Name, const std::string &Content,
                       fault_list &Faults) {
  const std::string Section = Name.str();
  if (Content.size() > MaxSectionBytes) {
    Faults.push_back({Section, "", "",
                      "at most " + std::to_string(MaxSectionBytes) +
                          " bytes, found " + std::to_string(Content.size())});
    return {};
  }
  value_map Values = readSection(Section, Content, Faults);
  checkValues(Section, schemaOf(Name), Values, Faults);
  return Values;
}

std::set<std::string> referencesIn(const std::string &Section,
                                   const std::string &Content) {
  const auto Name = section_name::parse(Section);
  fault_list Ignored;
  return Name ? referencesOf(schemaOf(*Name),
                             readSection(Section, Content, Ignored))
              : std::set<std::string>();
}

} // namespace

fault_list document::checkEdit(const std::string &Section,
                               const std::string &Content) const {
  const auto Name = section_name::parse(Section);
  if (!Name)
    return {{Section, "", "", ExpectedName}};
  if (Content.empty())
    return checkRemoval(Section);
  fault_list Faults;
  const value_map Values = checkContent(*Name, Content, Faults);
  for (const std::string &Reference : referencesOf(schemaOf(*Name), Values)) {
    if (Reference == ControlPolicySection)
      Faults.push_back({Section, "policy", "control",
                        "a policy of services; this one is the system's"});
    else if (!Sections.contains(Reference))
      Faults.push_back({Section, "", "",
                        "a section " + Reference +
                            ", which this one refers to; add it first"});
  }
  if (!Sections.contains(Section) && countOf(Name->Kind) >= limitOf(Name->Kind))
    Faults.push_back(countFault(Section, Name->Kind));
  return Faults;
}

fault_list document::checkRemoval(const std::string &Section) const {
  if (!Sections.contains(Section))
    return {{Section, "", "", "an existing section to remove"}};
  fault_list Faults;
  for (const auto &[Name, Other] : Sections) {
    if (Name != Section && Other.References.contains(Section))
      Faults.push_back(
          {Section, "", "", "no reference from " + Name + "; edit it first"});
  }
  return Faults;
}

std::size_t document::countOf(section_kind Kind) const {
  const std::string Prefix = section_name{Kind, ""}.str();
  std::size_t Count = 0;
  for (auto Entry = Sections.lower_bound(Prefix);
       Entry != Sections.end() && Entry->first.starts_with(Prefix); ++Entry)
    ++Count;
  return Count;
}

void document::put(const std::string &Section, const std::string &Content) {
  if (Content.empty())
    Sections.erase(Section);
  else
    Sections[Section] = {.Content = Content,
                         .References = referencesIn(Section, Content)};
}

const std::string *document::find(const std::string &Section) const {
  const auto Found = Sections.find(Section);
  return Found == Sections.end() ? nullptr : &Found->second.Content;
}

std::vector<std::string> document::sectionNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Section] : Sections)
    Names.push_back(Name);
  return Names;
}

std::string document::ownerOf(const std::string &Section) const {
  const std::string *Content = find(Section);
  return Content == nullptr ? "" : ownerIn(*Content);
}

std::string document::ownerIn(const std::string &Content) {
  fault_list Ignored;
  const value_map Values = readSection("", Content, Ignored);
  const auto Found = Values.find("owner");
  return Found == Values.end() ? "" : Found->second;
}

std::string document::text() const {
  std::string Text;
  for (const auto &[Name, Section] : Sections)
    appendSection(Text, Name, Section.Content);
  return Text;
}

void document::appendSection(std::string &Text, const std::string &Section,
                             const std::string &Content) {
  Text += (Text.empty() ? "[" : "\n[") + Section + "]\n" + Content;
  if (!Content.ends_with('\n'))
    Text += '\n';
}

fault_list document::check(std::string_view Text) {
  fault_list Faults;
  document Whole;
  std::vector<section_text> Parts = splitDocument(Text, Faults);
  for (const section_text &Part : Parts) {
    if (Whole.find(Part.Section) != nullptr)
      Faults.push_back({Part.Section, "", "", "each section only once"});
    else
      Whole.Sections[Part.Section] = {.Content = Part.Content};
  }
  for (const section_text &Part : Parts) {
    const fault_list Found = Whole.checkEdit(
        Part.Section, Part.Content.empty() ? "\n" : Part.Content);
    Faults.insert(Faults.end(), Found.begin(), Found.end());
  }
  for (const kind_limit &Limit : Limits) {
    if (Whole.countOf(Limit.Kind) > Limit.MaxCount)
      Faults.push_back(
          countFault(section_name{Limit.Kind, "*"}.str(), Limit.Kind));
  }
  return Faults;
}

base::result<document> document::parse(std::string_view Text) {
  const fault_list Faults = check(Text);
  if (!Faults.empty())
    return base::fail(base::error_kind::InvalidDocument, toText(Faults));
  fault_list Ignored;
  document Whole;
  for (const section_text &Part : splitDocument(Text, Ignored))
    Whole.put(Part.Section, Part.Content);
  return Whole;
}

} // namespace fulmar::document
