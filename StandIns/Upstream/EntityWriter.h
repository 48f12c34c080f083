#pragma once

#include <LibBase/LoadReport.h>
#include <LibHttp/HttpMessage.h>
#include <StandIns/Common/Entity.h>
#include <StandIns/Upstream/Session.h>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace wigeonlift {

/// Streams entities. `Range` is honoured unless `If-Range` names another entity tag.
class EntityWriter {
public:
  /// A rate of 0 bytes a second is as fast as the connection.
  explicit EntityWriter(std::uint64_t bytesPerSecond) : BytesPerSecond(bytesPerSecond) {}

  /// Writes head and body. False when the connection broke or went silent.
  boost::asio::awaitable<bool> write(std::shared_ptr<Session> session, HttpRequest request,
                                     Entity entity, LoadReport load) const;

private:
  boost::asio::awaitable<bool> writeBody(std::shared_ptr<Session> session, Entity entity,
                                         std::uint64_t begin, std::uint64_t end) const;

  std::uint64_t BytesPerSecond;
};

} // namespace wigeonlift
