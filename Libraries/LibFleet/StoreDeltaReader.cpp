#include <LibFleet/StoreDeltaReader.h>

#include <Fleet.pb.h>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <zlib.h>

#include <array>
#include <utility>

namespace wigeonlift {

namespace {

using google::protobuf::internal::WireFormatLite;

constexpr std::size_t InflatedPartBytes = 32 * 1024;
// Of a tag and a number, each a varint of at most 10 bytes.
constexpr std::size_t MaxPrefixBytes = 20;

} // namespace

struct StoreDeltaReader::Inflater {
  Inflater() { IsOpen = inflateInit(&Zlib) == Z_OK; }
  Inflater(const Inflater &) = delete;
  Inflater &operator=(const Inflater &) = delete;
  ~Inflater() { inflateEnd(&Zlib); }

  z_stream Zlib{};
  bool IsOpen = false;
  bool HasEnded = false;
};

StoreDeltaReader::StoreDeltaReader(StoreIntake &intake)
    : Intake(intake), Stream(std::make_unique<Inflater>()) {
  IsValid = Stream->IsOpen;
}

StoreDeltaReader::~StoreDeltaReader() = default;

bool StoreDeltaReader::write(std::string_view compressed) {
  z_stream &zlib = Stream->Zlib;
  zlib.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(compressed.data()));
  zlib.avail_in = static_cast<uInt>(compressed.size());
  std::array<char, InflatedPartBytes> part;
  while (IsValid && !Stream->HasEnded) {
    zlib.next_out = reinterpret_cast<Bytef *>(part.data());
    zlib.avail_out = static_cast<uInt>(part.size());
    const int code = inflate(&zlib, Z_NO_FLUSH);
    const std::size_t n = part.size() - zlib.avail_out;
    Pending.append(part.data(), n);
    IsValid = (code == Z_OK || code == Z_STREAM_END || code == Z_BUF_ERROR) && takeFields();
    Stream->HasEnded = code == Z_STREAM_END;
    if (n == 0 || (zlib.avail_in == 0 && zlib.avail_out > 0))
      break;
  }
  return IsValid;
}

bool StoreDeltaReader::takeFields() {
  std::size_t taken = 0;
  while (taken < Pending.size()) {
    const FieldResult result = takeField(std::string_view{Pending}.substr(taken), taken);
    if (result == FieldResult::Invalid)
      return false;
    if (result == FieldResult::Incomplete)
      break;
  }
  Pending.erase(0, taken);
  return !Intake.hasTooManyRemovals();
}

StoreDeltaReader::FieldResult StoreDeltaReader::takeField(std::string_view bytes,
                                                          std::size_t &taken) {
  google::protobuf::io::CodedInputStream in{reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                            static_cast<int>(bytes.size())};
  // What can't be read though there are enough bytes is invalid.
  const auto failure =
      bytes.size() >= MaxPrefixBytes ? FieldResult::Invalid : FieldResult::Incomplete;
  const std::uint32_t tag = in.ReadTag();
  if (tag == 0)
    return failure;
  const int field = WireFormatLite::GetTagFieldNumber(tag);
  if (WireFormatLite::GetTagWireType(tag) == WireFormatLite::WIRETYPE_VARINT) {
    std::uint64_t value = 0;
    if (!in.ReadVarint64(&value))
      return failure;
    setFact(field, value);
    taken += static_cast<std::size_t>(in.CurrentPosition());
    return FieldResult::Taken;
  }
  std::uint32_t size = 0;
  if (WireFormatLite::GetTagWireType(tag) != WireFormatLite::WIRETYPE_LENGTH_DELIMITED)
    return FieldResult::Invalid;
  if (!in.ReadVarint32(&size))
    return failure;
  if (size > MaxItemBytes)
    return FieldResult::Invalid;
  const auto begin = static_cast<std::size_t>(in.CurrentPosition());
  if (bytes.size() - begin < size)
    return FieldResult::Incomplete;
  if (field == fleetwire::Delta::kItemsFieldNumber && !takeItem(bytes.substr(begin, size)))
    return FieldResult::Invalid;
  taken += begin + size;
  return FieldResult::Taken;
}

bool StoreDeltaReader::takeItem(std::string_view bytes) {
  fleetwire::Item item;
  if (!item.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return false;
  // The era follows the items.
  Intake.add({.Key = std::move(*item.mutable_key()),
              .Value = std::move(*item.mutable_value()),
              .Revision = item.revision(),
              .IsRemoved = item.removed()});
  return true;
}

void StoreDeltaReader::setFact(int field, std::uint64_t value) {
  switch (field) {
  case fleetwire::Delta::kCompleteFieldNumber:
    Known.IsComplete = value != 0;
    break;
  case fleetwire::Delta::kAsOfFieldNumber:
    Known.AsOf = value;
    break;
  case fleetwire::Delta::kEraFieldNumber:
    Known.Era = value;
    break;
  case fleetwire::Delta::kLeftOutFieldNumber:
    Known.HasLeftOut = value != 0;
    break;
  case fleetwire::Delta::kLackingFieldNumber:
    Known.IsLacking = value != 0;
    break;
  default:
    break;
  }
}

std::optional<StoreDelta> StoreDeltaReader::finish() {
  if (!IsValid || !Stream->HasEnded || !Pending.empty())
    return std::nullopt;
  Intake.setSenderState(Known.HasLeftOut, Known.IsLacking);
  StoreDelta delta = Intake.take(Known.IsComplete, {Known.Era, Known.AsOf});
  for (StoreItem &it : delta.Items)
    it.Revision.Era = Known.Era;
  return delta;
}

} // namespace wigeonlift
