// Encoding of commands.

#include "fulmar/controlstate/commands.h"

#include "fulmar/claims/variantpacking.h"
#include "fulmar/controlstate/commandpacking.h"

namespace fulmar::controlstate {

static auto fieldsOf(command &Item) { return std::tie(Item.WallMs, Item.Body); }

std::string encodeCommand(const command &Command) {
  return claims::packValue(Command);
}

base::result<command> decodeCommand(std::string_view Bytes) {
  return claims::unpackValue<command>(Bytes);
}

} // namespace fulmar::controlstate
