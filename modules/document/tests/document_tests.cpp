// Tests of edits against the whole document.

#include "fulmar/document/document.h"
#include "fulmar/testing/property.h"

using namespace fulmar::document;

namespace {

const std::string Owner =
    "token_hash = pbkdf2-sha256$1000$0123456789abcdef$" + std::string(64, 'a');

/// Small universe of sections whose contents refer to each other at random.
std::string contentOf(const std::string &Section, int Choice) {
  if (Choice == 0)
    return {};
  if (Section.starts_with("owner."))
    return Owner;
  const std::string Team =
      "owner = " + std::string(Choice % 2 == 0 ? "t1" : "t2") + "\n";
  if (Section.starts_with("data-centre."))
    return Team + "region = north\n";
  if (Section.starts_with("policy."))
    return Team + "queue_ms = " + std::to_string(Choice) + "\n";
  return Team + "data_centres = " + (Choice % 3 == 0 ? "d1" : "d1, d2") +
         (Choice % 4 == 0 ? "\npolicy = p\n" : "\n");
}

const std::vector<std::string> Universe = {
    "owner.t1", "owner.t2",  "data-centre.d1", "data-centre.d2",
    "policy.p", "service.a", "service.b"};

} // namespace

TEST_GROUP(Document){};

TEST(Document, acceptedEditsKeepTheWholeSound) {
  fulmar::testing::checkProperty("whole stays sound", [] {
    document Document;
    std::map<std::string, std::string> Naive;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        30, rc::gen::pair(rc::gen::inRange<int>(0, 7), rc::gen::inRange(0, 9)));
    for (const auto &[Which, Choice] : Steps) {
      const std::string &Section = Universe[static_cast<std::size_t>(Which)];
      const std::string Content = contentOf(Section, Choice);
      const bool Removes = Content.empty() && Naive.contains(Section);
      auto Changed = Naive;
      Changed.erase(Section);
      std::string Whole;
      if (!Content.empty())
        Changed[Section] = Content;
      for (const auto &[Name, Text] : Changed)
        Whole += "[" + Name + "]\n" + Text + "\n";
      const bool Sound =
          document::check(Whole).empty() && (Removes || !Content.empty());
      RC_ASSERT(Document.checkEdit(Section, Content).empty() == Sound);
      if (!Sound)
        continue;
      Document.put(Section, Content);
      Naive = std::move(Changed);
    }
    RC_ASSERT(document::parse(Document.text()).has_value());
    for (const auto &[Name, Text] : Naive)
      RC_ASSERT(*Document.find(Name) == Text);
    RC_ASSERT(Document.sectionNames().size() == Naive.size());
  });
}

TEST(Document, danglingReferencesAreAllNamed) {
  const fault_list Faults = document().checkEdit(
      "service.a", "owner = t\ndata_centres = d1, d2\npolicy = p\n");
  const std::string Text = toText(Faults);
  LONGS_EQUAL(4, Faults.size());
  for (const char *Name :
       {"owner.t", "data-centre.d1", "data-centre.d2", "policy.p"})
    CHECK_TEXT(Text.find(Name) != std::string::npos, Name);
}

TEST(Document, aReferencedSectionIsNotRemoved) {
  document Document;
  Document.put("owner.t1", Owner);
  Document.put("data-centre.d1", contentOf("data-centre.d1", 2));
  const fault_list Faults = Document.checkEdit("owner.t1", "");
  LONGS_EQUAL(1, Faults.size());
  CHECK(Faults.front().str().find("data-centre.d1") != std::string::npos);
}

TEST(Document, namesSizesAndCountsAreBounded) {
  document Document;
  CHECK(!Document.checkEdit("service.", "x = 1").empty());
  CHECK(!Document.checkEdit("service.a.b", "x = 1").empty());
  CHECK(!Document.checkEdit("other.a", "x = 1").empty());
  CHECK(!Document
             .checkEdit("owner.t",
                        Owner + "\n" + std::string(MaxSectionBytes, '#'))
             .empty());
  for (std::size_t Count = 0; Count < MaxDataCentres; ++Count) {
    const std::string Name = "data-centre.d" + std::to_string(Count);
    Document.put("owner.t1", Owner);
    CHECK(Document.checkEdit(Name, contentOf(Name, 2)).size() == 0);
    Document.put(Name, contentOf(Name, 2));
  }
  LONGS_EQUAL(
      1,
      Document.checkEdit("data-centre.more", contentOf("data-centre.more", 2))
          .size());
  CHECK(document::check(Document.text()).empty());
  CHECK(!document::check(Document.text() + "[data-centre.more]\n" +
                         contentOf("data-centre.more", 2))
             .empty());
}

TEST(Document, theWholeCheckListsFaultsOfAllSections) {
  const fault_list Faults = document::check(
      "stray = 1\n[service.a]\nowner = t\n[service.a]\n[other]\n[owner.t\n");
  const std::string Text = toText(Faults);
  for (const char *Part : {"stray", "data_centres", "only once", "[other]",
                           "section header", "token_hash"})
    CHECK_TEXT(Text.find(Part) != std::string::npos, Part);
}
