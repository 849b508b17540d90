// Encoding of replies.

#include "fulmar/controlstate/replies.h"

#include "fulmar/claims/variantpacking.h"
#include "replypacking.h"

namespace fulmar::controlstate {

std::string encodeReply(const reply &Reply) { return claims::packValue(Reply); }

base::result<reply> decodeReply(std::string_view Bytes) {
  return claims::unpackValue<reply>(Bytes);
}

} // namespace fulmar::controlstate
