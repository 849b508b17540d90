// Promises of ownership and shares, kept by several entries over a network
// that loses, delays, reorders and repeats messages, while processes freeze,
// restart and are cut off.

#include "fakecluster.h"

#include "fulmar/testing/property.h"

#include <numeric>

using namespace fulmar::directory;
using std::chrono::seconds;

namespace {

/// Something happens to an entry or a target.
using disturbance = std::function<void(fake_cluster &)>;

void freezeEntry(fake_cluster &Cluster) {
  fake_entry &Entry = *Cluster.Entries[Cluster.below(Cluster.Options.Entries)];
  Entry.FrozenUntil = Cluster.now() + milliseconds(Cluster.below(8000));
}

void cutEntry(fake_cluster &Cluster) {
  fake_entry &Entry = *Cluster.Entries[Cluster.below(Cluster.Options.Entries)];
  Entry.CutUntil = Cluster.now() + milliseconds(Cluster.below(12000));
}

void restartEntry(fake_cluster &Cluster) {
  Cluster.restartEntry(Cluster.below(Cluster.Options.Entries));
}

void changeMember(fake_cluster &Cluster) {
  Cluster.setMember(Cluster.below(Cluster.Options.Entries),
                    Cluster.percent() < 60);
}

void restartTarget(fake_cluster &Cluster) {
  Cluster.restartTarget(Cluster.below(Cluster.Options.Targets));
}

void warmTarget(fake_cluster &Cluster) {
  Cluster.setState(Cluster.below(Cluster.Options.Targets), target_state::Warm);
}

const std::vector<disturbance> Disturbances = {freezeEntry,   cutEntry,
                                               restartEntry,  changeMember,
                                               restartTarget, warmTarget};

void disturb(fake_cluster &Cluster) {
  const auto Count = static_cast<int>(Disturbances.size());
  Disturbances[Cluster.below(Count)](Cluster);
}

/// A drawn seed.
std::uint64_t anySeed() { return *rc::gen::arbitrary<std::uint64_t>(); }

} // namespace

TEST_GROUP(Shares){};

TEST(Shares, aQuietClusterServes) {
  fake_cluster Cluster({.Seed = 7, .Loss = 0, .Repeat = 0});
  Cluster.run(seconds(8));
  for (int Index = 0; Index < Cluster.Options.Targets; ++Index)
    Cluster.setState(Index, target_state::Warm);
  Cluster.run(seconds(10));
  CHECK_TEXT(Cluster.Fault.empty(), Cluster.Fault.c_str());
  CHECK(Cluster.Arrivals > 100);
  for (const auto &Entry : Cluster.Entries)
    CHECK(Entry->Served > 5);
}

TEST(Shares, noTwoOwnersActAndNoTargetIsOverloaded) {
  fulmar::testing::checkProperty("one owner, bounded work", [] {
    fake_cluster Cluster({.Seed = anySeed()});
    Cluster.Check = [&] {
      for (int Target = 0; Target < Cluster.Options.Targets; ++Target)
        if (Cluster.actingOwners(Target) > 1)
          Cluster.Fault = "two owners act";
    };
    for (int Round = 0; Round < 12 && Cluster.Fault.empty(); ++Round) {
      Cluster.run(milliseconds(Cluster.below(5000)));
      disturb(Cluster);
    }
    RC_ASSERT(Cluster.Fault == "");
  });
}
