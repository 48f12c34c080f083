#pragma once

#include "ServiceRunner.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace wigeonlift {

/// Asks an upstream for its load with `OPTIONS *` and reports the answer to the dispatcher.
boost::asio::awaitable<void> exchangeProbe(std::shared_ptr<ServiceRunner> service,
                                           StartProbe command);

} // namespace wigeonlift
