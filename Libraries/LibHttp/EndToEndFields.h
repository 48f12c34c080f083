#pragma once

#include <LibHttp/HttpMessage.h>

#include <span>
#include <string_view>

namespace wigeonlift {

/// Copies the fields of a message that do not concern one connection alone, without the dropped
/// ones.
void copyEndToEndFields(const boost::beast::http::fields &from, boost::beast::http::fields &to,
                        std::span<const std::string_view> dropped);

/// Value of a header; empty when it is absent.
std::string_view headerValue(const boost::beast::http::fields &fields, std::string_view name);

} // namespace wigeonlift
