// Which responses set and lift a target's announced limit.

#include "fulmar/placement/announcedlimit.h"
#include "fulmar/testing/property.h"

using namespace fulmar::placement;

TEST_GROUP(AnnouncedLimit) { announced_limit Limit; };

TEST(AnnouncedLimit, holdsUntilAResponseNoLongerNamesIt) {
  CHECK_FALSE(Limit.observe({}, response_kind::Request));
  CHECK_TRUE(Limit.observe(2.5, response_kind::Request));
  CHECK_FALSE(Limit.observe(2.5, response_kind::Request));
  CHECK_TRUE(Limit.rate() == 2.5);
  CHECK_TRUE(Limit.observe(0.0, response_kind::Request));
  CHECK_TRUE(Limit.rate() == 0.0);
  CHECK_TRUE(Limit.observe({}, response_kind::Request));
  CHECK_FALSE(Limit.rate().has_value());
}

TEST(AnnouncedLimit, probesLiftItOnlyIfTheyNamedItBefore) {
  Limit.observe(1, response_kind::Request);
  CHECK_FALSE(Limit.observe({}, response_kind::Probe));
  CHECK_TRUE(Limit.rate() == 1.0);
  Limit.observe(1, response_kind::Probe);
  CHECK_TRUE(Limit.observe({}, response_kind::Probe));
  CHECK_FALSE(Limit.rate().has_value());
  // What probes said of one limit doesn't hold for the next.
  Limit.observe(3, response_kind::Request);
  CHECK_FALSE(Limit.observe({}, response_kind::Probe));
}
