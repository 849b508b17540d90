// Tests of settings files: good ones, and every fault reported at once.

#include "fulmar/settings/settings.h"
#include "fulmar/testing/property.h"

#include <Poco/TemporaryFile.h>

#include <fstream>

using fulmar::settings::key_spec;
using fulmar::settings::schema;
using fulmar::settings::settings;
using fulmar::settings::value_type;

namespace {

const schema &exampleSchema() {
  static const schema Schema = {
      {.Section = "instance",
       .Key = "id",
       .Type = value_type::Name,
       .Required = true,
       .Help = "name of this instance"},
      {.Section = "instance",
       .Key = "listen",
       .Type = value_type::Address,
       .Default = "127.0.0.1:7001"},
      {.Section = "limits",
       .Key = "queue",
       .Type = value_type::Integer,
       .Default = "10",
       .Minimum = 1,
       .Maximum = 100},
      {.Section = "peers",
       .Key = fulmar::settings::AnyKey,
       .Type = value_type::Address},
  };
  return Schema;
}

auto loadText(const std::string &Text) {
  const Poco::TemporaryFile File;
  std::ofstream(File.path()) << Text;
  return settings::load(File.path(), exampleSchema());
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, readsValuesAndDefaults) {
  const auto Loaded =
      loadText("[instance]\nid = entry-1\n[peers]\na = 127.0.0.1:1\n");
  CHECK(Loaded.has_value());
  STRCMP_EQUAL("entry-1", Loaded.value().text("instance", "id").c_str());
  LONGS_EQUAL(10, Loaded.value().integer("limits", "queue"));
  LONGS_EQUAL(1, Loaded.value().section("peers").size());
}

TEST(Settings, reportsEveryFaultAtOnce) {
  const auto Loaded = loadText("[instance]\nlisten = nowhere\n"
                               "[limits]\nqueue = 101\nquue = 1\n");
  CHECK(!Loaded.has_value());
  const std::string &Message = Loaded.error().Message;
  for (const char *Part :
       {"[instance] id = ''", "[instance] listen = 'nowhere': expected IP:PORT",
        "[limits] queue = '101': expected a whole number, 1 to 100",
        "[limits] quue = '1': expected one of: queue"})
    CHECK_TEXT(Message.find(Part) != std::string::npos, Message.c_str());
}

TEST(Settings, aKeyWithoutValueGetsItsDefault) {
  const auto Loaded =
      loadText("[instance]\nid = entry-1\nlisten =\n[limits]\nqueue =\n");
  CHECK(Loaded.has_value());
  STRCMP_EQUAL("127.0.0.1:7001",
               Loaded.value().text("instance", "listen").c_str());
  LONGS_EQUAL(10, Loaded.value().integer("limits", "queue"));
}

TEST(Settings, aMissingFileIsAnError) {
  const auto Loaded = settings::load("/nonexistent.ini", exampleSchema());
  CHECK(!Loaded.has_value());
  CHECK(Loaded.error().Message.find("/nonexistent.ini") != std::string::npos);
}
