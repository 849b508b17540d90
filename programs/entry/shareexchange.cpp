// Timers, links and codecs around the directory's state machines.

#include "shareexchange.h"

#include "fulmar/telemetry/log.h"

namespace fulmar::entry {

namespace {

/// Parts of a grant's validity after which the owner is asked again.
constexpr int AsksPerGrant = 4;
constexpr auto UrgentInterval = std::chrono::milliseconds(40);
constexpr auto ShareTimeout = std::chrono::milliseconds(500);
constexpr auto RelayTimeout = std::chrono::milliseconds(800);

const char *nameOf(directory::target_state State) {
  switch (State) {
  case directory::target_state::Cold:
    return "cold";
  case directory::target_state::Warm:
    return "warm";
  case directory::target_state::Draining:
    break;
  }
  return "draining";
}

void logTarget(const directory::target_status &Status) {
  const directory::announcement &Target = Status.Announced;
  telemetry::logChange(telemetry::log_level::Info, "owner", "target-changed",
                       {{"target", Target.Id.str()},
                        {"service", Target.Service.str()},
                        {"state", nameOf(Target.State)},
                        {"incarnation", Target.Incarnation},
                        {"suspected", Status.Suspected ? "true" : "false"},
                        {"expired", Status.Expired ? "true" : "false"}});
}

} // namespace

share_exchange::share_exchange(const knowledge &Known, answer_post AnswerPost)
    : Knowledge(Known), Post(std::move(AnswerPost)),
      Owner({}, Known.ownership(), Known.freshness()),
      View({.Self = Known.self().Id, .Incarnation = Known.self().Incarnation},
           Known.ownership(), Known.freshness()) {
  Owner.Changed.subscribe(logTarget);
}

void share_exchange::onItemsChanged(base::instant Now) {
  Owner.setOutOfService(Knowledge.view().outOfService(), Now);
  updatePeers();
}

void share_exchange::updatePeers() {
  std::map<base::instance_id, peer> Kept;
  for (const directory::member &Member : Knowledge.view().members()) {
    const auto Found = Peers.find(Member.Id);
    if (Found != Peers.end() && Found->second.Address == Member.RpcAddress) {
      Kept[Member.Id] = std::move(Found->second);
      continue;
    }
    peer &Added = Kept[Member.Id];
    Added.Address = Member.RpcAddress;
    if (Member.Id != Knowledge.self().Id)
      Added.Link = std::make_unique<wire::rpc_link>(Member.RpcAddress);
  }
  Peers = std::move(Kept);
}

void share_exchange::setPolicies(const service_policies &Policies) {
  for (const auto &[Service, Policy] : Policies)
    Owner.setPolicy(Service, {.InFlightPerSlot = static_cast<std::uint32_t>(
                                  Policy.InFlightPerSlot),
                              .ColdRamp = Policy.ColdRamp});
}

void share_exchange::askOwners(const directory::router_counters &Counters,
                               bool Urgent, base::instant Now) {
  const base::duration Grant = directory::permission_policy().Grant;
  for (auto &[Owned, Peer] : Peers) {
    // An owner that had nothing to grant is asked for news, or for a turn.
    base::duration Interval = Urgent ? Grant / AsksPerGrant : Grant;
    if (Peer.Grants)
      Interval = Urgent ? base::duration(UrgentInterval) : Grant / AsksPerGrant;
    if (Now - Peer.AskedAt >= Interval)
      ask(Owned, Peer, Counters, Now);
  }
}

void share_exchange::ask(const base::instance_id &Owned, peer &Peer,
                         const directory::router_counters &Counters,
                         base::instant Now) {
  if (Peer.Link && Peer.Link->pending() > 0)
    return;
  Peer.AskedAt = Now;
  const directory::share_request Request =
      View.nextRequest(Owned, Counters, Now);
  if (!Peer.Link) {
    const auto Answer = Owner.onShareRequest(Request, Now);
    if (Answer.has_value())
      takeOver(Owned, Answer.value(), Now);
    return;
  }
  Peer.Link->post({.Method = "share.sync",
                   .Parameters = directory::toJson(Request),
                   .Timeout = ShareTimeout,
                   .Completion = [Post = Post, Owned](const auto &Outcome) {
                     Post(Owned, Outcome);
                   }});
}

void share_exchange::onAnswer(const base::instance_id &Owned,
                              const base::result<Json::Value> &Answer,
                              base::instant Now) {
  if (!Answer.has_value())
    return;
  const auto Parsed = directory::shareAnswerFromJson(Answer.value());
  if (Parsed.has_value())
    takeOver(Owned, Parsed.value(), Now);
}

void share_exchange::takeOver(const base::instance_id &Owned,
                              const directory::share_answer &Answer,
                              base::instant Now) {
  const bool GaveBack = View.onAnswer(Owned, Answer, Now);
  const auto Peer = Peers.find(Owned);
  if (Peer == Peers.end())
    return;
  Peer->second.Grants = !Answer.Grants.empty();
  // The owner can pass on what was given back once it knows.
  if (GaveBack)
    Peer->second.AskedAt = base::instant{};
}

base::result<Json::Value> share_exchange::serve(const Json::Value &Parameters,
                                                base::instant Now) {
  BOOST_OUTCOME_TRY(Request, directory::shareRequestFromJson(Parameters));
  BOOST_OUTCOME_TRY(Answer, Owner.onShareRequest(Request, Now));
  return directory::toJson(Answer);
}

base::result<Json::Value> share_exchange::keep(const Json::Value &Announcement,
                                               base::instant Now) {
  BOOST_OUTCOME_TRY(Parsed, directory::announcementFromJson(Announcement));
  Owner.onAnnouncement(Parsed, Now);
  return Json::Value(Json::objectValue);
}

void share_exchange::announce(const Json::Value &Announcement,
                              const announce_reply &Reply, base::instant Now) {
  const auto Parsed = directory::announcementFromJson(Announcement);
  if (!Parsed.has_value())
    return Reply(Parsed.error());
  const auto Owned = Knowledge.ownership().ownerOf(Parsed.value().Id,
                                                   Parsed.value().DataCentre);
  if (!Owned)
    return Reply(base::fail(base::error_kind::StaleKnowledge,
                            "no entry is known yet; announce again"));
  if (*Owned == Knowledge.self().Id) {
    Owner.onAnnouncement(Parsed.value(), Now);
    return Reply(base::success());
  }
  const auto Peer = Peers.find(*Owned);
  const bool Posted =
      Peer != Peers.end() && Peer->second.Link &&
      Peer->second.Link->post({.Method = "announce.relay",
                               .Parameters = Announcement,
                               .Timeout = RelayTimeout,
                               .Completion = [Reply](const auto &Outcome) {
                                 if (Outcome.has_value())
                                   Reply(base::success());
                                 else
                                   Reply(Outcome.error());
                               }});
  if (!Posted)
    Reply(base::fail(base::error_kind::Unreachable,
                     "the target's owner is not reachable; announce again"));
}

} // namespace fulmar::entry
