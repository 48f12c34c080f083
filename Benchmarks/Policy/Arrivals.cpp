#include "Arrivals.h"

#include <cmath>

namespace wigeonlift::bench {

namespace {

constexpr double NonIdempotentPart = 0.1;

} // namespace

Arrivals::Arrivals(EventQueue &events, const RunOptions &options, Tally &tally,
                   std::function<void(const ArrivingCall &)> didArrive)
    : Events(events), Options(options), Outcomes(tally), DidArrive(std::move(didArrive)),
      Rng(options.Seed),
      Service(std::log(toSeconds(MeanService)) - ServiceSigma * ServiceSigma / 2, ServiceSigma) {}

void Arrivals::start() {
  Events.at(CallsStart, [this] { scheduleNext(); });
}

void Arrivals::scheduleNext() {
  const Duration sinceStart = Events.now() - CallsStart;
  if (Events.now() >= FaultStart + Options.Measured)
    return;
  const double seconds = -std::log(1 - Rng.unit()) / offeredRate(Options, sinceStart);
  Events.after(fromSeconds(seconds), [this] {
    ArrivingCall call;
    call.Class = Rng.unit() < NonIdempotentPart ? CallClass::NonIdempotent : CallClass::Idempotent;
    const double service = Service(Rng.engine());
    call.ServiceSeconds = Options.DrawsPerCall ? service : 0;
    call.Number = Outcomes.didArrive(call.Class, Events.now());
    DidArrive(call);
    scheduleNext();
  });
}

} // namespace wigeonlift::bench
