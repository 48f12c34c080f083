#include <LibTicket/RequestDigest.h>

#include <sodium.h>

namespace wigeonlift {

namespace {

void hashWithLengthPrefix(crypto_generichash_state &state, std::string_view part) {
  const std::uint64_t length = part.size();
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&length),
                            sizeof(length));
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part.data()),
                            part.size());
}

} // namespace

RequestDigest RequestDigest::of(std::string_view method, std::string_view target,
                                std::string_view body) {
  RequestDigest digest;
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, digest.Bytes.size());
  hashWithLengthPrefix(state, method);
  hashWithLengthPrefix(state, target);
  hashWithLengthPrefix(state, body);
  crypto_generichash_final(&state, digest.Bytes.data(), digest.Bytes.size());
  return digest;
}

} // namespace wigeonlift
