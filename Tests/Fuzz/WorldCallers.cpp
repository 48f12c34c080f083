#include <Tests/Fuzz/World.h>

#include <algorithm>

namespace wigeonlift::test {

namespace {

RequestDigest digestOf(const std::string &request) {
  return RequestDigest::of("POST", "/", request);
}

} // namespace

void World::callAnew(std::size_t n, Pick &pick) {
  Operation op{
      "r-" + std::to_string(Operations.size()), static_cast<CallClass>(pick.below(3)), {}, 0};
  if (op.Class == CallClass::NonIdempotent) {
    const auto ticket = Vms[n].Tickets->issue(clockOf(Vms[n]));
    if (!ticket)
      return;
    op.Ticket = *ticket;
  }
  Operations.push_back(std::move(op));
  send(Operations.size() - 1, pick.oneIn(4) ? pick.below(Vms.size()) : n);
}

void World::send(std::size_t index, std::size_t n) {
  Operation &op = Operations[index];
  if (Vms[n].IsPaused || (op.Class != CallClass::NonIdempotent && op.Tries > 0))
    return;
  const Waiting waiting{index, op.Tries++};
  record("caller", CallEvent{op.Request, op.Request, waiting.Try, op.Class, {}, Vms[n].Address});
  if (op.Class == CallClass::NonIdempotent)
    sendWithTicket(waiting, n);
  else
    runCall(waiting, n, std::nullopt);
}

void World::sendWithTicket(const Waiting &waiting, std::size_t n) {
  const Operation &op = Operations[waiting.Op];
  Vm &vm = Vms[n];
  const BeginResult result = vm.Tickets->begin(op.Ticket, digestOf(op.Request), clockOf(vm));
  if (const auto *foreign = std::get_if<TicketForeign>(&result)) {
    const auto owner = std::ranges::find(Vms, foreign->Boot, &Vm::Boot);
    if (owner == Vms.end() || owner->IsPaused || areCut(owner->Name, vm.Name))
      answer(waiting, {"", 0, 502, Execution::Unknown, "ticket-owner-gone", false, true});
    else
      sendWithTicket(waiting, static_cast<std::size_t>(owner - Vms.begin()));
  } else if (const auto *started = std::get_if<TicketStarted>(&result)) {
    runCall(waiting, n, started->Id);
  } else if (const auto *running = std::get_if<TicketRunning>(&result)) {
    for (auto &[key, call] : Calls)
      if (key.first == n && call.Ticket == running->Id)
        call.Callers.push_back(waiting);
  } else if (const auto *finished = std::get_if<TicketFinished>(&result)) {
    const TicketOutcome &outcome = *finished->Outcome;
    AnswerEvent replay{"", 0, 200, outcome.Executed, {}, true, outcome.Body == op.Request};
    if (outcome.FailureReason)
      replay = {"",    0,   503, outcome.Executed, std::string{toString(*outcome.FailureReason)},
                false, true};
    answer(waiting, replay);
  } else {
    const auto &failure = std::get<Failure>(result);
    answer(waiting,
           {"", 0, 410, failure.Executed, std::string{toString(failure.Kind)}, false, true});
  }
}

void World::runCall(const Waiting &waiting, std::size_t n, std::optional<TicketId> ticket) {
  Vm &vm = Vms[n];
  const CallId id{++LastCall};
  Calls[{n, id}] = RunningCall{waiting.Op, {waiting}, ticket, {}, {}};
  const CallClass callClass = Operations[waiting.Op].Class;
  vm.Dispatch->callArrived(
      {id, callClass, static_cast<std::uint32_t>(callClass), clockOf(vm) + CallDeadline, 4},
      clockOf(vm), vm.Out);
  obey(n);
}

void World::answer(const Waiting &waiting, AnswerEvent answer) {
  answer.Request = Operations[waiting.Op].Request;
  answer.Try = waiting.Try;
  record("caller", std::move(answer));
}

void World::callerLeaves(std::size_t n, Pick &pick) {
  if (Calls.empty())
    return;
  const auto it = std::next(Calls.begin(), static_cast<std::ptrdiff_t>(pick.below(Calls.size())));
  const auto [vm, id] = it->first;
  // A call with a ticket goes on for those who repeat it.
  if (vm != n || it->second.Ticket)
    return;
  Calls.erase(it);
  Vms[n].Dispatch->callerLeft(id, clockOf(Vms[n]), Vms[n].Out);
}

void World::endCall(std::size_t n, CallId id, const AnswerEvent &final) {
  const auto it = Calls.find({n, id});
  RC_ASSERT(it != Calls.end());
  const RunningCall call = it->second;
  Calls.erase(it);
  if (call.Ticket) {
    TicketOutcome outcome{final.Executed, {}, 200, {}, Operations[call.Op].Request, false};
    if (final.Failure)
      outcome = TicketOutcome::ofFailure(FailureKind::Internal, final.Executed);
    Vms[n].Tickets->finish(*call.Ticket, outcome, clockOf(Vms[n]));
  }
  for (const Waiting &caller : call.Callers)
    answer(caller, final);
}

} // namespace wigeonlift::test
