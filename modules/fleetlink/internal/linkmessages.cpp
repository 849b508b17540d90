// Encoding and compression of link messages.

#include "fulmar/fleetlink/linkmessages.h"

#include "fulmar/claims/variantpacking.h"
#include "fulmar/controlstate/commandpacking.h"
#include "fulmar/publication/changespacking.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace fulmar::fleetlink {

static auto fieldsOf(entry_status &Item) {
  return std::tie(Item.Report, Item.Ready);
}
static auto fieldsOf(fetch_request &Item) { return std::tie(Item.Since); }
static auto fieldsOf(fetch_reply &Item) { return std::tie(Item.Changes); }
static auto fieldsOf(log_position &Item) {
  return std::tie(Item.Latest, Item.ProofAgeMs);
}
static auto fieldsOf(control_plane_members &Item) {
  return std::tie(Item.DataCentre, Item.Controls);
}
static auto fieldsOf(entry_heartbeat & /*Item*/) { return std::tie(); }
static auto fieldsOf(crash_notification &Item) {
  return std::tie(Item.Id, Item.Crash);
}
static auto fieldsOf(answer_notification &Item) {
  return std::tie(Item.Id, Item.Answer);
}
static auto fieldsOf(notification_ack &Item) { return std::tie(Item.Id); }
static auto fieldsOf(log_message &Item) {
  return std::tie(Item.From, Item.Bytes);
}
static auto fieldsOf(join_request &Item) { return std::tie(Item.Id); }
static auto fieldsOf(call_request &Item) {
  return std::tie(Item.From, Item.Id, Item.Call, Item.Command);
}
static auto fieldsOf(call_reply &Item) {
  return std::tie(Item.Id, Item.Succeeded, Item.ErrorKind, Item.Message,
                  Item.Reply);
}
static auto fieldsOf(target_liveness &Item) { return std::tie(Item.Targets); }
static auto fieldsOf(capabilities &Item) { return std::tie(Item.Level); }
static auto fieldsOf(proof_request &Item) { return std::tie(Item.Nonce); }
static auto fieldsOf(proof_reply &Item) {
  return std::tie(Item.Nonce, Item.Latest, Item.ProofAgeMs);
}
static auto fieldsOf(allotment_holder &Item) { return std::tie(Item.Term); }
static auto fieldsOf(allotment_demand &Item) {
  return std::tie(Item.Account, Item.Count);
}
static auto fieldsOf(allotment_request &Item) {
  return std::tie(Item.Id, Item.Demands);
}
static auto fieldsOf(allotment_grant &Item) {
  return std::tie(Item.Account, Item.Granted, Item.RetryAfterMs, Item.Starting);
}
static auto fieldsOf(allotment_reply &Item) {
  return std::tie(Item.Id, Item.Holder, Item.Grants);
}
static auto fieldsOf(rollout_counts &Item) {
  return std::tie(Item.Route, Item.NewVersion, Item.Requests, Item.Failures,
                  Item.TotalMs);
}
static auto fieldsOf(rollout_evidence &Item) {
  return std::tie(Item.Service, Item.Order, Item.Phase, Item.AtOldVersion,
                  Item.Counts);
}
static constexpr leader_call lastOf(leader_call /*Kind*/) {
  return leader_call::ReadDocument;
}

namespace {

/// Messages shorter than this gain nothing from compression.
constexpr std::size_t MinCompressedBytes = 512;
/// First byte of a zlib stream. It distinguishes compressed messages from
/// uncompressed ones, which begin with a msgpack array.
constexpr char ZlibFirstByte = '\x78';
/// Full copies of the state are repetitive: a higher level reduces their size
/// by a tenth and costs several times the CPU time.
constexpr int CompressionLevel = 1;
/// Limit on the decompressed size; no valid message is that long.
constexpr std::size_t MaxMessageBytes = std::size_t(64) << 20;

std::string compress(const std::string &Bytes) {
  std::ostringstream Compressed;
  Poco::DeflatingOutputStream Deflater(
      Compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB, CompressionLevel);
  Deflater << Bytes;
  Deflater.close();
  return Compressed.str();
}

base::result<std::string> decompress(std::string_view Bytes) {
  std::istringstream Compressed{std::string(Bytes)};
  Poco::InflatingInputStream Inflater(Compressed,
                                      Poco::InflatingStreamBuf::STREAM_ZLIB);
  std::string Decompressed;
  std::array<char, 16'384> Chunk{};
  while (Inflater.read(Chunk.data(), Chunk.size()) || Inflater.gcount() > 0) {
    Decompressed.append(Chunk.data(),
                        static_cast<std::size_t>(Inflater.gcount()));
    if (Decompressed.size() > MaxMessageBytes)
      return base::fail(base::error_kind::BadRequest,
                        "decompressed link message is too large");
  }
  if (Inflater.bad())
    return base::fail(base::error_kind::BadRequest,
                      "compressed link message is corrupt");
  return Decompressed;
}

} // namespace

std::string encodeLinkMessage(const link_message &Message) {
  std::string Encoded = claims::packValue(Message);
  return Encoded.size() < MinCompressedBytes ? Encoded : compress(Encoded);
}

base::result<link_message> decodeLinkMessage(std::string_view Bytes) {
  if (Bytes.empty() || Bytes.front() != ZlibFirstByte)
    return claims::unpackValue<link_message>(Bytes);
  BOOST_OUTCOME_TRY(Encoded, decompress(Bytes));
  return claims::unpackValue<link_message>(Encoded);
}

} // namespace fulmar::fleetlink
