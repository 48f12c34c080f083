#include <StandIns/Load/EntryDirectory.h>

#include <boost/json/parse.hpp>

#include <chrono>
#include <utility>

namespace wigeonlift {

namespace {

namespace json = boost::json;

/// An element is an address, or an object with the key `address`.
std::string addressOf(const json::value &element) {
  const json::object *object = element.if_object();
  const json::value *value = object ? object->if_contains("address") : &element;
  const json::string *text = value ? value->if_string() : nullptr;
  return text ? std::string{text->data(), text->size()} : std::string{};
}

} // namespace

EntryDirectory::EntryDirectory(std::vector<std::string> seeds, std::size_t firstSeed)
    : Seeds(std::move(seeds)), NextSeed(firstSeed % Seeds.size()) {}

std::optional<std::string> EntryDirectory::current(TimePoint now) const {
  if (Addresses.empty() || now >= ValidUntil)
    return std::nullopt;
  return Addresses.front();
}

std::string EntryDirectory::nextToAsk() {
  NextSeed = (NextSeed + 1) % Seeds.size();
  return Seeds[NextSeed];
}

void EntryDirectory::remember(std::vector<std::string> addresses, Duration lifetime,
                              TimePoint now) {
  Addresses = std::move(addresses);
  ValidUntil = now + lifetime;
}

void EntryDirectory::didFail(const std::string &address) { std::erase(Addresses, address); }

std::optional<EntriesAnswer> parseEntriesAnswer(std::string_view text) {
  json::error_code ec;
  const json::value document = json::parse({text.data(), text.size()}, ec);
  const json::object *root = ec ? nullptr : document.if_object();
  const json::value *entries = root ? root->if_contains("entries") : nullptr;
  const json::value *lifetime = root ? root->if_contains("lifetime_ms") : nullptr;
  if (!entries || !entries->is_array() || !lifetime || !lifetime->is_int64())
    return std::nullopt;
  EntriesAnswer answer{{}, std::chrono::milliseconds{lifetime->get_int64()}};
  for (const json::value &it : entries->get_array())
    if (std::string address = addressOf(it); !address.empty())
      answer.Addresses.push_back(std::move(address));
  if (answer.Addresses.empty())
    return std::nullopt;
  return answer;
}

} // namespace wigeonlift
