#include <LibTelemetry/LibTelemetry.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace wigeonlift;

namespace {

/// Pipe that the log writes to and the test reads from.
class Pipe {
public:
  Pipe() { EXPECT_EQ(::pipe(Ends.data()), 0); }
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }
  int writeEnd() const { return Ends[1]; }
  std::string readAvailable() const {
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = ::read(Ends[0], buf.data(), buf.size())) > 0;)
      text.append(buf.data(), static_cast<std::size_t>(n));
    return text;
  }

private:
  std::array<int, 2> Ends{};
};

std::string lineWith(std::string_view value) {
  const Pipe pipe;
  EventLog log{pipe.writeEnd(), "vm"};
  log.write(EventLog::Priority::Important, "event", {{"x", std::string{value}}});
  log.flush();
  return pipe.readAvailable();
}

} // namespace

// Guards against blocking on a standard output that nobody reads, against a buffer that then grows
// without bound, and against dropping lines without reporting their number.
TEST(EventLog, DropsAndCountsLinesWhenReaderStops) {
  const Pipe pipe;
  EventLog log{pipe.writeEnd(), "vm"};
  for (int n = 0; n < 50'000; ++n)
    log.write(EventLog::Priority::Routine, "answered", {{"id", "0123456789abcdef"}});
  EXPECT_GT(log.dropped(), 0U);
  EXPECT_EQ(log.dropped() + log.appended(), 50'000U);
  std::string text = pipe.readAvailable();
  log.flush();
  log.write(EventLog::Priority::Routine, "after", {});
  for (int n = 0; n < 10; ++n) {
    text += pipe.readAvailable();
    log.flush();
  }
  text += pipe.readAvailable();
  EXPECT_NE(text.find("lines_dropped"), std::string::npos);
}

// Guards against dropping lines about failures because routine lines have filled the buffer.
TEST(EventLog, ReservesBufferForImportantLines) {
  const Pipe pipe;
  EventLog log{pipe.writeEnd(), "vm"};
  while (log.dropped() == 0)
    log.write(EventLog::Priority::Routine, "answered", {{"id", "0123456789abcdef"}});
  const auto dropped = log.dropped();
  for (int n = 0; n < 100; ++n)
    log.write(EventLog::Priority::Important, "refused", {{"id", "0123456789abcdef"}});
  EXPECT_EQ(log.dropped(), dropped);
}

// Guards against values that look like numbers but are none in JSON, so that no parser reads the
// line.
TEST(EventLog, WritesOnlyJsonNumbersWithoutQuotes) {
  for (const std::string_view number : {"0", "-7", "12.50", "-0.5"})
    EXPECT_NE(lineWith(number).find(fmt::format(R"("x":{})", number)), std::string::npos) << number;
  for (const std::string_view text : {"", "-", "-05", "05", ".5", "5.", "-.5", "1.2.3", "1-2"})
    EXPECT_NE(lineWith(text).find(fmt::format(R"("x":"{}")", text)), std::string::npos) << text;
}

// Guards against field values that make a line invalid JSON.
TEST(EventLog, EscapesValues) {
  const Pipe pipe;
  EventLog log{pipe.writeEnd(), "vm"};
  log.write(EventLog::Priority::Important, "rejected",
            {{"path", "/a\"b\\c\n"},
             {"status", "404"},
             {"id", "007"},
             {"left", "-1.5"},
             {"rev", "1.10", true}});
  log.flush();
  const std::string text = pipe.readAvailable();
  EXPECT_NE(text.find(R"("path":"/a\"b\\c\u000a")"), std::string::npos);
  EXPECT_NE(text.find(R"("status":404,"id":"007","left":-1.5,"rev":"1.10")"), std::string::npos);
}
