// Fakes at the forwarder's interfaces: router, claims and observer.

#ifndef FULMAR_PROXY_TESTS_FAKEPARTS_H
#define FULMAR_PROXY_TESTS_FAKEPARTS_H

#include "fulmar/claims/iclaimstore.h"
#include "fulmar/proxy/iexchangeobserver.h"
#include "fulmar/routing/irouter.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fulmar::proxy::tests {

/// Hands out targets in order and permits any further attempt up to a number.
class fake_router final : public routing::irouter {
public:
  std::vector<std::string> Addresses;
  std::size_t MaxAttempts = 2;
  std::optional<base::duration> HedgeAfter;
  base::error_kind Refusal = base::error_kind::Saturated;

  base::result<routing::permit>
  acquire(const routing::request_profile &Request,
          std::span<const routing::attempt> Earlier) override {
    const std::lock_guard Lock(Mutex);
    Profiles.push_back(Request);
    if (Addresses.empty() || Earlier.size() >= MaxAttempts)
      return base::fail(Refusal, "fake refusal");
    const std::string &Address = Addresses[Earlier.size() % Addresses.size()];
    ++Open;
    return routing::permit{.Id = ++LastId,
                           .Target = {.Target = base::target_id(Address),
                                      .Address = Address,
                                      .Incarnation = "i1",
                                      .Granted = 1},
                           .HedgeAfter = HedgeAfter};
  }

  void finish(const routing::permit & /*Permit*/,
              const routing::attempt &Outcome,
              const routing::request_profile & /*Request*/) override {
    const std::lock_guard Lock(Mutex);
    --Open;
    Finished.push_back(Outcome);
  }

  std::vector<routing::attempt> finished() const {
    const std::lock_guard Lock(Mutex);
    return Finished;
  }
  std::vector<routing::request_profile> profiles() const {
    const std::lock_guard Lock(Mutex);
    return Profiles;
  }
  /// Permits that were not given back yet.
  int open() const {
    const std::lock_guard Lock(Mutex);
    return Open;
  }

private:
  mutable std::mutex Mutex;
  std::vector<routing::attempt> Finished;
  std::vector<routing::request_profile> Profiles;
  std::uint64_t LastId = 0;
  int Open = 0;
};

/// Claims in memory, with the state of the real keeper.
class fake_keeper final : public claims::iclaim_store {
public:
  std::optional<base::error_kind> Failure;

  base::result<claims::claim_result>
  claim(const claims::claim_request &Request) override {
    const std::lock_guard Lock(Mutex);
    if (Failure)
      return base::fail(*Failure, "fake failure");
    const auto Known = Claims.find(Request.Key);
    if (Known == Claims.end()) {
      Claims[Request.Key] = {Request.ContentDigest,
                             {.State = claims::claim_state::InProgress}};
      return claims::claim_result{.State = claims::claim_state::Granted};
    }
    if (Known->second.ContentDigest != Request.ContentDigest)
      return base::fail(base::error_kind::ClaimMismatch, "other content");
    return Known->second.Answer;
  }

  base::result<void>
  settle(const claims::claim_request &Request, claims::claim_end End,
         const std::optional<claims::recorded_answer> &Answer) override {
    const std::lock_guard Lock(Mutex);
    Ends.push_back(End);
    if (End == claims::claim_end::NotRun) {
      Claims.erase(Request.Key);
      return base::success();
    }
    Claims[Request.Key].Answer =
        End == claims::claim_end::Finished
            ? claims::claim_result{.State = claims::claim_state::Recorded,
                                   .Answer = Answer}
            : claims::claim_result{.State =
                                       claims::claim_state::OutcomeUnknown};
    return base::success();
  }

  std::vector<claims::claim_end> ends() const {
    const std::lock_guard Lock(Mutex);
    return Ends;
  }

private:
  struct kept_claim {
    std::uint64_t ContentDigest = 0;
    claims::claim_result Answer;
  };
  mutable std::mutex Mutex;
  std::map<std::string, kept_claim> Claims;
  std::vector<claims::claim_end> Ends;
};

class fake_observer final : public iexchange_observer {
public:
  void observed(const target_observation &Observation) override {
    const std::lock_guard Lock(Mutex);
    Seen.push_back(Observation);
  }
  std::vector<target_observation> seen() const {
    const std::lock_guard Lock(Mutex);
    return Seen;
  }

private:
  mutable std::mutex Mutex;
  std::vector<target_observation> Seen;
};

} // namespace fulmar::proxy::tests

#endif // FULMAR_PROXY_TESTS_FAKEPARTS_H
