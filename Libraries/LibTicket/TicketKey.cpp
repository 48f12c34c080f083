#include <LibTicket/TicketKey.h>

#include <sodium.h>

#include <cstdlib>

namespace wigeonlift {

TicketKey randomTicketKey() {
  // Without secure random numbers the key would be predictable and any ticket could be forged.
  if (sodium_init() < 0)
    std::abort();
  TicketKey key;
  randombytes_buf(key.data(), key.size());
  return key;
}

} // namespace wigeonlift
