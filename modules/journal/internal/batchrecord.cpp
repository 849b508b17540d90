// Encodes commits with msgpack.

#include "batchrecord.h"

namespace fulmar::journal {

std::string encodeBatch(const std::vector<batch_record> &Batch) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Batch);
  return {Buffer.data(), Buffer.size()};
}

base::result<std::vector<batch_record>> decodeBatch(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    return Handle->as<std::vector<batch_record>>();
  } catch (const std::exception &Fault) {
    return base::fail(base::error_kind::Corrupt, Fault.what());
  }
}

} // namespace fulmar::journal
