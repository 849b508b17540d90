// Tests of the lease table: expiry, delayed reports, new terms and
// confirmations.

#include "fulmar/leases/leasetable.h"

#include <CppUTest/TestHarness.h>

using namespace fulmar;
using namespace std::chrono_literals;

namespace {
const base::instance_id A("a");
const base::instance_id B("b");
constexpr base::instant Start{};
} // namespace

TEST_GROUP(LeaseTable) { leases::lease_table Table{3s}; };

TEST(LeaseTable, memberWithoutReportsExpires) {
  Table.renew(A, 1, Start);
  Table.renew(B, 1, Start);
  Table.renew(A, 1, Start + 2s);
  CHECK(Table.expired(Start + 3s).empty());
  CHECK(Table.expired(Start + 4s) == std::vector{B});
}

TEST(LeaseTable, delayedReportChangesNothing) {
  Table.renew(A, 5, Start + 2s);
  Table.renew(A, 4, Start + 1s);
  CHECK(Table.expired(Start + 5s).empty());
  LONGS_EQUAL(1, Table.confirmations(5, Start + 2s).Confirmed);
}

TEST(LeaseTable, newTermGivesEveryMemberFullLease) {
  Table.renew(A, 1, Start);
  Table.startTerm({A, B}, Start + 10s);
  CHECK(Table.expired(Start + 13s).empty());
  CHECK((Table.expired(Start + 14s) == std::vector{A, B}));
}

TEST(LeaseTable, confirmationsCountLiveMembersOnly) {
  Table.renew(A, 7, Start);
  Table.renew(B, 6, Start + 2s);
  const auto Report = Table.confirmations(7, Start + 2s);
  LONGS_EQUAL(1, Report.Confirmed);
  CHECK(Report.Waiting == std::vector{B});
  CHECK(Table.confirmations(7, Start + 4s).Confirmed == 0);
}
