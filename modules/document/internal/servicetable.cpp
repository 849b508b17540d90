// The keys of service sections and of the policies that services share.

#include "sectiontables.h"

namespace fulmar::document {

namespace {

using policy = service_policy;

constexpr std::int64_t DayMs = 86'400'000;

binding_table<policy> pickingAndLimits() {
  return {
      {{.Key = "pick",
        .Type = key_type::Choice,
        .Choices = {"adaptive", "two-choices", "least-in-flight", "round-robin",
                    "random"},
        .Help = "how an entry chooses among targets"},
       &policy::Pick},
      {{.Key = "spill_over_percent",
        .Type = key_type::Integer,
        .Minimum = 1,
        .Maximum = 100,
        .Help = "use of near targets from which on far ones are used too"},
       &policy::SpillOverPercent},
      {{.Key = "in_flight_per_slot",
        .Type = key_type::Integer,
        .Minimum = 1,
        .Maximum = 64,
        .Help = "requests in flight for each slot of a target"},
       &policy::InFlightPerSlot},
      {{.Key = "queue_length",
        .Type = key_type::Integer,
        .Maximum = 100'000,
        .Help = "requests that wait in one entry"},
       &policy::QueueLength},
      {{.Key = "queue_ms",
        .Type = key_type::Milliseconds,
        .Maximum = 600'000,
        .Help = "longest wait in the queue"},
       &policy::Queue},
      {{.Key = "timeout_ms",
        .Type = key_type::Milliseconds,
        .Minimum = 10,
        .Maximum = DayMs,
        .Help = "deadline of a request that carries none"},
       &policy::Timeout},
      {{.Key = "max_body_kb",
        .Type = key_type::Integer,
        .Minimum = 1,
        .Maximum = std::int64_t{1} << 34,
        .Help = "largest body of a request"},
       &policy::MaxBodyKilobytes},
  };
}

binding_table<policy> retriesAndHedges() {
  return {
      {{.Key = "idempotent_posts",
        .Type = key_type::Boolean,
        .Help = "POST and PATCH may be sent again"},
       &policy::IdempotentPosts},
      {{.Key = "max_attempts",
        .Type = key_type::Integer,
        .Minimum = 1,
        .Maximum = 10,
        .Help = "attempts of one request, the first included"},
       &policy::MaxAttempts},
      {{.Key = "retry_budget_percent",
        .Type = key_type::Integer,
        .Maximum = 100,
        .Help = "retries and hedges in percent of requests"},
       &policy::RetryBudgetPercent},
      {{.Key = "hedge",
        .Type = key_type::Boolean,
        .Help = "send a second attempt of slow idempotent requests"},
       &policy::Hedge},
      {{.Key = "hedge_after_permille",
        .Type = key_type::Integer,
        .Minimum = 500,
        .Maximum = 999,
        .Help = "quantile of the service time after which to hedge"},
       &policy::HedgeAfterPermille},
      {{.Key = "outlier_share_percent",
        .Type = key_type::Integer,
        .Maximum = 90,
        .Help = "largest share of targets that may be ejected"},
       &policy::OutlierSharePercent},
  };
}

binding_table<policy> coldAndMeasuring() {
  return {
      {{.Key = "cold_ramp_ms",
        .Type = key_type::Milliseconds,
        .Maximum = 3'600'000,
        .Help = "duration of the ramp from cold to full"},
       &policy::ColdRamp},
  };
}

void append(binding_table<policy> &To, const binding_table<policy> &From) {
  To.insert(To.end(), From.begin(), From.end());
}

binding_table<policy> makeSharedTable() {
  binding_table<policy> Table = {{ownerSpec(), &policy::Owner}};
  append(Table, pickingAndLimits());
  append(Table, retriesAndHedges());
  append(Table, coldAndMeasuring());
  return Table;
}

binding_table<policy> makeServiceTable() {
  binding_table<policy> Table = sharedPolicyTable();
  Table.push_back({{.Key = "data_centres",
                    .Type = key_type::NameList,
                    .Required = true,
                    .Maximum = MaxListedDataCentres,
                    .References = section_kind::DataCentre,
                    .Help = "data centres whose targets serve"},
                   &policy::DataCentres});
  Table.push_back({{.Key = "policy",
                    .Type = key_type::Name,
                    .References = section_kind::Policy,
                    .Help = "policy section with shared keys"},
                   &policy::Policy});
  return Table;
}

} // namespace

const binding_table<service_policy> &sharedPolicyTable() {
  static const binding_table<policy> Table = makeSharedTable();
  return Table;
}

const binding_table<service_policy> &serviceTable() {
  static const binding_table<policy> Table = makeServiceTable();
  return Table;
}

} // namespace fulmar::document
