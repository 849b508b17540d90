// Encodes snapshots and the hard state.

#include "fulmar/consensus/snapshot.h"

#include "codec.h"

namespace fulmar::consensus {

std::string encode(const snapshot &Snapshot) { return packValue(Snapshot); }

base::result<snapshot> decodeSnapshot(std::string_view Bytes) {
  return unpackValue<snapshot>(Bytes);
}

std::string encode(const hard_state &State) { return packValue(State); }

base::result<hard_state> decodeHardState(std::string_view Bytes) {
  return unpackValue<hard_state>(Bytes);
}

const char *nameOf(role Role) {
  switch (Role) {
  case role::Follower:
    return "follower";
  case role::PreCandidate:
    return "pre-candidate";
  case role::Candidate:
    return "candidate";
  case role::Leader:
    return "leader";
  }
  return "unknown";
}

} // namespace fulmar::consensus
