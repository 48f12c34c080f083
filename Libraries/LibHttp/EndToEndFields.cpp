#include <LibHttp/EndToEndFields.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace wigeonlift {

namespace {

namespace http = boost::beast::http;

constexpr std::array ConnectionFields{http::field::connection,
                                      http::field::keep_alive,
                                      http::field::proxy_connection,
                                      http::field::te,
                                      http::field::trailer,
                                      http::field::transfer_encoding,
                                      http::field::upgrade,
                                      http::field::expect,
                                      http::field::proxy_authorization,
                                      http::field::proxy_authenticate};

bool isConnectionField(const http::fields::value_type &field, std::string_view connection) {
  if (std::ranges::find(ConnectionFields, field.name()) != ConnectionFields.end())
    return true;
  return !connection.empty() && http::token_list{connection}.exists(field.name_string());
}

} // namespace

void copyEndToEndFields(const http::fields &from, http::fields &to,
                        std::span<const std::string_view> dropped) {
  const auto isDropped = [&](boost::beast::string_view name) {
    return std::ranges::any_of(dropped, [&](auto it) { return boost::beast::iequals(name, it); });
  };
  const std::string_view connection = from[http::field::connection];
  for (const auto &it : from)
    if (!isConnectionField(it, connection) && !isDropped(it.name_string()))
      to.insert(it.name(), it.name_string(), it.value());
}

std::string_view headerValue(const http::fields &fields, std::string_view name) {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string_view{} : std::string_view{it->value()};
}

} // namespace wigeonlift
