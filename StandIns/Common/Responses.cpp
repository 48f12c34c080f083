#include <StandIns/Common/Responses.h>

#include <utility>

namespace wigeonlift {

HttpResponse jsonResponse(int status, std::string body) {
  HttpResponse response;
  response.result(static_cast<unsigned>(status));
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

} // namespace wigeonlift
