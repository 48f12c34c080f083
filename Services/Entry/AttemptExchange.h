#pragma once

#include "ServiceRunner.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace wigeonlift {

/// Sends an attempt's request and reads the head of the response. The body is left to the call when
/// the response is to be relayed, and read to its end otherwise.
boost::asio::awaitable<void> exchangeAttempt(std::shared_ptr<ServiceRunner> service,
                                             std::shared_ptr<UpstreamAttempt> attempt);

} // namespace wigeonlift
