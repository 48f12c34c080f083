#include <LibPipeline/LibPipeline.h>

#include <gtest/gtest.h>

using namespace wigeonlift;

namespace {

using Positions = std::vector<PipelinePosition>;

PipelinePosition at(std::uint64_t n) { return PipelinePosition{n}; }

} // namespace

// Guards against reads that wait for the whole life of the reads before them.
TEST(RequestPipeline, StartsConcurrentRequestsSideBySide) {
  RequestPipeline pipeline;
  pipeline.add(PipelineMode::Concurrent, 0);
  pipeline.add(PipelineMode::Concurrent, 0);
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(1), at(2)}));
  pipeline.add(PipelineMode::Concurrent, 0);
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(3)}));
  EXPECT_EQ(pipeline.front(), at(1));
}

// Guards against a write that runs although an earlier request on its connection may still fail,
// and against a read that runs before a write that its caller sent first.
TEST(RequestPipeline, ExclusiveRequestsRunAlone) {
  RequestPipeline pipeline;
  pipeline.add(PipelineMode::Concurrent, 0);
  pipeline.add(PipelineMode::Exclusive, 0);
  pipeline.add(PipelineMode::Concurrent, 0);
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(1)}));
  pipeline.didAnswerFront();
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(2)}));
  EXPECT_EQ(pipeline.takeStartable(true), Positions{});
  pipeline.didAnswerFront();
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(3)}));
}

// Guards against answers that wait for earlier ones although there is no memory to hold them.
TEST(RequestPipeline, WithoutOvertakingOnlyTheFirstStarts) {
  RequestPipeline pipeline;
  pipeline.add(PipelineMode::Concurrent, 0);
  pipeline.add(PipelineMode::Concurrent, 0);
  EXPECT_EQ(pipeline.takeStartable(false), (Positions{at(1)}));
  EXPECT_EQ(pipeline.takeStartable(false), Positions{});
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(2)}));
}

// Guards against one caller that takes all memory, or all room at the upstreams.
TEST(RequestPipeline, HasBounds) {
  RequestPipeline pipeline{{.MaxUnanswered = 3, .MaxStarted = 2, .BodyBytes = 100}};
  pipeline.add(PipelineMode::Concurrent, 60);
  EXPECT_TRUE(pipeline.mayRead());
  pipeline.add(PipelineMode::Concurrent, 60);
  EXPECT_FALSE(pipeline.mayRead());
  pipeline.didAnswerFront();
  EXPECT_TRUE(pipeline.mayRead());
  pipeline.add(PipelineMode::Concurrent, 0);
  pipeline.add(PipelineMode::Concurrent, 0);
  EXPECT_FALSE(pipeline.mayRead());
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(2), at(3)}));
  pipeline.didAnswerFront();
  EXPECT_EQ(pipeline.takeStartable(true), (Positions{at(4)}));
}
