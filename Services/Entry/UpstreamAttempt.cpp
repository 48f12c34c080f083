#include "UpstreamAttempt.h"

#include <utility>

namespace wigeonlift {

UpstreamAttempt::UpstreamAttempt(const boost::asio::any_io_executor &executor,
                                 const StartAttempt &command, std::shared_ptr<ProxiedCall> owner)
    : Command(command), Owner(std::move(owner)), Wait(std::make_shared<PoolWait>(executor)) {}

void UpstreamAttempt::cancel() {
  IsCancelled = true;
  Wait->abandon();
  if (Connection)
    Connection->close();
}

} // namespace wigeonlift
