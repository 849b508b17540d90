// Reading log lines back and telling a request's story from them.

#include "internal/requeststory.h"

#include "fulmar/testing/property.h"

using namespace fulmar::ctl;

namespace {

log_line line(const std::string &Text) {
  const auto Parsed = parseLogLine(Text);
  CHECK_TRUE(Parsed.has_value());
  return Parsed.value_or(log_line());
}

std::string at(const std::string &Seconds, const std::string &Instance,
               const std::string &Rest) {
  return "time=2026-05-04T10:00:" + Seconds +
         "Z level=info instance=" + Instance + " component=x " + Rest;
}

std::string ended(const std::string &Seconds, const std::string &Instance,
                  const std::string &Id, bool Failed,
                  const std::string &Sends) {
  return at(Seconds, Instance,
            std::string("event=") +
                (Failed ? "request-failed" : "request-answered") + " request=" +
                Id + " fingerprint=f-" + Id + " sends=\"" + Sends + "\"");
}

} // namespace

TEST_GROUP(LogLines){};

TEST(LogLines, readsQuotedValuesAndSkipsWhatStandsBefore) {
  const log_line Line =
      line("edge-3 12.5 | time=2026-05-04T10:00:01.250Z level=warning "
           "instance=e3 event=request-failed cause=\"a \\\"b\\\" \\\\ \\x09\" "
           "sends=\"\"\n");
  STRCMP_EQUAL("a \"b\" \\ \t", Line.field("cause").c_str());
  STRCMP_EQUAL("", Line.field("sends").c_str());
  STRCMP_EQUAL("e3", Line.field("instance").c_str());
  LONGS_EQUAL(250, Line.TimeMs % 1000);
}

TEST(LogLines, refusesWhatIsNoLineOfOurs) {
  for (const char *Text :
       {"", "hello", "time=2026-05-04T10:00:01.250Z", "time=x event=y",
        "time=2026-05-04T10:00:01.250Z event=\"cut off",
        "time=2026-05-04T10:00:01.250Z event=y rest"})
    CHECK_FALSE_TEXT(parseLogLine(Text).has_value(), Text);
}

TEST_GROUP(RequestStory){};

TEST(RequestStory, readsEachSend) {
  const auto Sends = parseSends("t-1:2:0+1+2/4x100:break@3,t-2:9:-:open");
  LONGS_EQUAL(2, Sends.size());
  CHECK_TRUE(Sends[0] == (told_send{.Target = "t-1",
                                    .SentMs = 2,
                                    .Load = "0+1+2/4x100",
                                    .Outcome = "break@3"}));
  STRCMP_EQUAL("open", Sends[1].Outcome.c_str());
  LONGS_EQUAL(0, parseSends("").size());
}

TEST(RequestStory, gathersBeliefsOfTheServingInstanceAtThatTime) {
  const request_story Story = storyOf(
      "r1", {line(ended("20.000", "e1", "r1", true, "")),
             line(at("01.000", "e1", "event=plan-in-force version=3")),
             line(at("10.000", "e1", "event=plan-in-force version=4")),
             line(at("30.000", "e1", "event=plan-in-force version=5")),
             line(at("11.000", "e2", "event=plan-in-force version=9")),
             line(at("12.000", "e1", "event=control-connected control=c1")),
             line(at("13.000", "e1", "event=control-lost control=c1"))});
  LONGS_EQUAL(1, Story.Ends.size());
  LONGS_EQUAL(2, Story.Beliefs.size());
  STRCMP_EQUAL("4", Story.Beliefs[0].field("version").c_str());
  STRCMP_EQUAL("control-lost", Story.Beliefs[1].field("event").c_str());
}

TEST(RequestStory, followsARequestOverBothEntriesAndTellsOfLostContact) {
  const request_story Story = storyOf(
      "r1",
      {line(at("01.000", "e1", "event=targets-lost service=even")),
       line(at("02.000", "e1", "event=targets-lost service=odd")),
       line(at("03.000", "e1", "event=targets-regained service=odd")),
       line(ended("04.000", "e2", "r1", false, "t1:2:0+0+0/2x100:good@9")),
       line(ended("04.001", "e1", "r1", false, "e2:0:relay:good@11"))});
  LONGS_EQUAL(2, Story.Ends.size());
  LONGS_EQUAL(2, Story.Beliefs.size());
  STRCMP_EQUAL("targets-lost", Story.Beliefs[0].field("event").c_str());
  STRCMP_EQUAL("targets-regained", Story.Beliefs[1].field("event").c_str());
}

TEST(RequestStory, countsNeighboursAndFindsOrdersAboutItsTargets) {
  const std::string Send = "t-1:0:-:open";
  const request_story Story = storyOf(
      "r1",
      {line(ended("40.000", "e1", "r1", true, Send)),
       line(ended("38.000", "e2", "r2", true, Send)),
       line(ended("41.000", "e2", "r3", false, Send)),
       line(ended("30.000", "e2", "r4", true, Send)),
       line(at("35.000", "c1", "event=order what=\"target t-1 leaves\"")),
       line(at("35.500", "c1", "event=order what=\"target t-2 leaves\"")),
       line(at("05.000", "c1", "event=order what=\"target t-1 joins\""))});
  LONGS_EQUAL(1, Story.Neighbours.size());
  CHECK_TRUE(Story.Neighbours[0] ==
             (neighbour_count{.Target = "t-1", .Answered = 1, .Failed = 1}));
  LONGS_EQUAL(1, Story.AboutTargets.size());
}

TEST(RequestStory, findsTheSameContentUnderOtherIds) {
  const auto End = [](const std::string &Seconds, const std::string &Id,
                      const std::string &Fingerprint) {
    return line(at(Seconds, "e1",
                   "event=request-failed request=" + Id +
                       " sends=\"\" fingerprint=" + Fingerprint));
  };
  const auto Resends = [&End](const std::string &Fingerprint) {
    return storyOf("r1", {End("10.000", "r1", Fingerprint),
                          End("11.000", "r2", Fingerprint),
                          End("12.000", "r3", "other"),
                          End("59.000", "r4", Fingerprint)})
        .Resends.size();
  };
  LONGS_EQUAL(1, Resends("abc"));
  // Requests without a route have none.
  LONGS_EQUAL(0, Resends("\"\""));
}

TEST(RequestStory, isEmptyForAnUnknownRequest) {
  CHECK_TRUE(storyOf("r9", {line(ended("40.000", "e1", "r1", true, ""))})
                 .Ends.empty());
}
