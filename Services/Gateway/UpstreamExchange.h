#pragma once

#include "ServiceTask.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace wigeonlift {

/// Sends a request to an upstream, reads the answer and tells the service what came of it.
boost::asio::awaitable<void> exchangeRequest(std::shared_ptr<ServiceTask> service,
                                             std::shared_ptr<RunningAttempt> attempt);

/// Asks an upstream for its load.
boost::asio::awaitable<void> exchangeProbe(std::shared_ptr<ServiceTask> service,
                                           std::shared_ptr<const KnownUpstream> upstream,
                                           ProbeId probe);

} // namespace wigeonlift
