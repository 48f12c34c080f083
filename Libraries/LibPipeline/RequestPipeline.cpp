#include <LibPipeline/RequestPipeline.h>

namespace wigeonlift {

bool RequestPipeline::mayRead() const {
  return Entries.size() < Limits.MaxUnanswered && BodyBytes < Limits.BodyBytes;
}

PipelinePosition RequestPipeline::add(PipelineMode mode, std::size_t bodyBytes) {
  Entries.push_back({.Mode = mode, .BodyBytes = bodyBytes});
  BodyBytes += bodyBytes;
  return PipelinePosition{Answered + Entries.size()};
}

std::vector<PipelinePosition> RequestPipeline::takeStartable(bool mayOvertake) {
  std::vector<PipelinePosition> result;
  const std::size_t most = mayOvertake ? Limits.MaxStarted : 1;
  for (std::size_t n = 0; n < Entries.size() && n < most; ++n) {
    Entry &it = Entries[n];
    if (it.Mode == PipelineMode::Exclusive && n > 0)
      break;
    if (!it.IsStarted)
      result.push_back(PipelinePosition{Answered + n + 1});
    it.IsStarted = true;
    if (it.Mode == PipelineMode::Exclusive)
      break;
  }
  return result;
}

std::optional<PipelinePosition> RequestPipeline::front() const {
  if (Entries.empty())
    return std::nullopt;
  return PipelinePosition{Answered + 1};
}

void RequestPipeline::didAnswerFront() {
  BodyBytes -= Entries.front().BodyBytes;
  Entries.pop_front();
  ++Answered;
}

} // namespace wigeonlift
