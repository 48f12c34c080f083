#include "ResponseRelay.h"

#include "EntryHeaders.h"

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Most responses fit into the first buffer and leave in one write; a longer body gets a larger one.
constexpr std::size_t FirstBufferBytes = 16 * 1024;
constexpr std::size_t StreamBufferBytes = 64 * 1024;

} // namespace

ResponseRelay::ResponseRelay(ServiceRunner &service, std::shared_ptr<ProxiedCall> call,
                             std::shared_ptr<CallerConnection> caller, bool closesCaller)
    : Service(service), Owner(std::move(call)), Caller(std::move(caller)),
      ClosesCaller(closesCaller), Buffer(FirstBufferBytes) {}

asio::awaitable<RelayEnd> ResponseRelay::run(RelayDecision decision) {
  start(decision);
  while (true) {
    const BodyPart part = co_await readPart();
    if (part.IsBroken) {
      const bool goesOn = co_await continueElsewhere();
      if (goesOn)
        continue;
      co_return HasHead ? RelayEnd::Broken : RelayEnd::Failed;
    }
    if (part.IsLast) {
      From->Connection.giveBack();
      Service.responseFinished(From);
    }
    if (DidRecord)
      recordPart(part);
    const bool isWritten = co_await writePart(part);
    IsCallerGone = !isWritten;
    if (IsCallerGone && !DidRecord) {
      if (!part.IsLast)
        Service.callerLeft(Owner->Spec.Id);
      co_return RelayEnd::CallerGone;
    }
    if (part.IsLast)
      co_return IsCallerGone ? RelayEnd::CallerGone : RelayEnd::Complete;
  }
}

void ResponseRelay::start(const RelayDecision &decision) {
  From = decision.From;
  Executed = decision.Executed;
  Head = callerHead(*From->Response, Executed);
  if (ClosesCaller)
    Head.set(http::field::connection, "close");
  if (Owner->Spec.Class == CallClass::Export)
    Owner->Progress = ExportProgress::of(Owner->Head, *From->Response);
  if (DidRecord)
    recordHead();
}

asio::awaitable<BodyPart> ResponseRelay::readPart() {
  const auto connection = From->Connection.share();
  From->ReadingSince = Service.parts().Clock.now();
  BodyPart part = co_await connection->readBody(Buffer);
  From->ReadingSince.reset();
  if (From->IsCancelled)
    part.IsBroken = true;
  co_return part;
}

asio::awaitable<bool> ResponseRelay::writePart(const BodyPart &part) {
  if (IsCallerGone)
    co_return false;
  if (HasHead)
    co_return co_await writeBody(part);
  HasHead = true;
  const bool isBodyless = Owner->isHeadRequest() || CallerConnection::hasNoBody(Head);
  if (part.IsLast && !isBodyless)
    co_return co_await Caller->write(Head, {Buffer.data(), part.Size}, Caller->head().method());
  IsChunked = !isBodyless && Head.count(http::field::content_length) == 0;
  if (IsChunked)
    Head.set(http::field::transfer_encoding, "chunked");
  bool isWritten = co_await Caller->writeHead(Head);
  if (isWritten && !isBodyless)
    isWritten = co_await writeBody(part);
  Buffer.resize(StreamBufferBytes);
  co_return isWritten;
}

asio::awaitable<bool> ResponseRelay::writeBody(const BodyPart &part) {
  const std::string_view bytes{Buffer.data(), part.Size};
  bool isWritten = true;
  if (!bytes.empty())
    isWritten = co_await Caller->writePart(bytes, IsChunked);
  if (Owner->Progress)
    Owner->Progress->didReceive(bytes.size());
  if (isWritten && part.IsLast && IsChunked)
    isWritten = co_await Caller->writeLastChunk();
  co_return isWritten;
}

asio::awaitable<bool> ResponseRelay::continueElsewhere() {
  // What arrived with the break is asked for again, so only written bytes count as received.
  From->Connection = {};
  Service.attemptFailed(From, FailureStage::AfterResponse);
  CallDecision decision = co_await Owner->nextDecision();
  if (const auto *failure = std::get_if<Failure>(&decision)) {
    Reason = *failure;
    co_return false;
  }
  From = std::get<RelayDecision>(decision).From;
  ++Service.parts().Metrics.Resumes;
  co_return true;
}

void ResponseRelay::recordHead() {
  Outcome.Executed = Executed;
  Outcome.HttpStatus = static_cast<int>(Head.result_int());
  for (const auto &it : Head)
    Outcome.Headers.push_back({std::string{it.name_string()}, std::string{it.value()}});
}

void ResponseRelay::recordPart(const BodyPart &part) {
  if (!Outcome.IsContentDropped)
    Outcome.Body.append(Buffer.data(), part.Size);
  if (Outcome.size() > MaxRecordedResponseBytes)
    Outcome.dropContent();
  if (part.IsLast)
    DidRecord(std::move(Outcome));
}

} // namespace wigeonlift
