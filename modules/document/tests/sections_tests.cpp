// Tests of the schema, the typed sections and the tokens.

#include "fulmar/document/controlpolicy.h"
#include "fulmar/document/document.h"
#include "fulmar/document/keyspec.h"
#include "fulmar/document/servicepolicy.h"
#include "fulmar/document/token.h"
#include "fulmar/testing/property.h"

using namespace fulmar::document;

namespace {

constexpr const char *Service = "owner = team\ndata_centres = pos, arima\n";

/// A value that the key's type never admits.
std::string wrongValue(const key_spec &Spec) {
  return Spec.Type == key_type::Text ? std::string(1000, 'x') : "?";
}

} // namespace

TEST_GROUP(Sections){};

TEST(Sections, aServiceTakesItsOwnKeysThenThePolicysThenDefaults) {
  const auto Policy =
      parseServicePolicy(std::string(Service) + "queue_ms = 7\nhedge = false\n",
                         "owner = other\nqueue_ms = 5\nmax_attempts = 4\n");
  CHECK(Policy.has_value());
  CHECK(Policy.value().Queue == std::chrono::milliseconds(7));
  LONGS_EQUAL(4, Policy.value().MaxAttempts);
  LONGS_EQUAL(64, Policy.value().QueueLength);
  CHECK(!Policy.value().Hedge);
  STRCMP_EQUAL("team", Policy.value().Owner.c_str());
  LONGS_EQUAL(2, Policy.value().DataCentres.size());
}

TEST(Sections, everyKeyOfEverySchemaIsCheckedAndEveryFaultListed) {
  for (const char *Name : {"service.a", "policy.a", "policy.control",
                           "data-centre.a", "owner.a"}) {
    const section_name Section = *section_name::parse(Name);
    std::string Wrong;
    for (const key_spec &Spec : schemaOf(Section))
      Wrong += Spec.Key + " = " + wrongValue(Spec) + "\n";
    const fault_list Faults = document().checkEdit(Name, Wrong + "no_key = 1");
    for (const key_spec &Spec : schemaOf(Section)) {
      const auto Named =
          std::count_if(Faults.begin(), Faults.end(), [&](const fault &Fault) {
            return Fault.Key == Spec.Key && Fault.Value == wrongValue(Spec) &&
                   !Fault.Expected.empty();
          });
      LONGS_EQUAL_TEXT(1, Named, Spec.Key.c_str());
    }
    CHECK(std::any_of(Faults.begin(), Faults.end(), [](const fault &Fault) {
      return Fault.Key == "no_key";
    }));
  }
}

TEST(Sections, defaultsAreWithinTheirOwnSchema) {
  for (const char *Name : {"service.a", "policy.control", "data-centre.a"}) {
    // An empty text would remove the section.
    std::string Text = "# defaults\n";
    for (const key_spec &Spec : schemaOf(*section_name::parse(Name))) {
      if (!Spec.Default.empty())
        Text += Spec.Key + " = " + Spec.Default + "\n";
    }
    for (const fault &Fault : document().checkEdit(Name, Text))
      STRCMP_EQUAL("a value; the key is required", Fault.Expected.c_str());
  }
}

TEST(Sections, malformedLinesAreFaults) {
  for (const char *Line : {"queue_ms = 1\nqueue_ms = 1", "a.b = 1", "[owner.x]",
                           "  [owner.x]", "word", "= 5", "queue_ms = 1\x01",
                           "Queue_ms = 1", "# \xff", "# \xc3"}) {
    const auto Parsed = parseServicePolicy(std::string(Service) + Line + "\n");
    CHECK_TEXT(!Parsed.has_value(), Line);
  }
  CHECK(parseServicePolicy("; note\n\n# note = 1\r\nowner=team\r\n"
                           "data_centres=${a},b\n")
            .has_error());
  CHECK(parseControlPolicy("owner = t\n").has_value());
}

TEST(Sections, arbitraryTextNeverThrows) {
  fulmar::testing::checkProperty("arbitrary text", [](const std::string &Text) {
    (void)parseServicePolicy(Text);
    (void)document::check(Text);
  });
}

TEST(Sections, tokensAreHashedByPbkdf2) {
  // First 32 bytes of the vector in RFC 7914, section 11.
  STRCMP_EQUAL("pbkdf2-sha256$1$salt$55ac046e56e3089fec1691c22544b605f94185216d"
               "de0465e68b9d57c20dacbc",
               hashToken("passwd", "salt", 1).c_str());
  const std::string Hash =
      hashToken("right", "0123456789abcdef", MinTokenIterations);
  CHECK(isTokenHash(Hash));
  CHECK(verifyToken("right", Hash));
  CHECK(!verifyToken("wrong", Hash));
  CHECK(!verifyToken("", ""));
  CHECK(!isTokenHash("pbkdf2-sha256$1$salt$00"));
  CHECK(!equalInConstantTime("abc", "abd"));
  CHECK(!equalInConstantTime("abc", "abcd"));
}
