#pragma once

#include <LibHttp/HttpMessage.h>

#include <string>

namespace wigeonlift {

/// A small response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

} // namespace wigeonlift
