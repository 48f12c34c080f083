#include <Services/Ctl/Explain.h>
#include <Tests/Support/TestDirectory.h>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace wigeonlift;

namespace {

class ExplainTest : public testing::Test {
protected:
  std::string write(const std::string &name, const std::string &text) {
    const std::string path = Directory.file(name);
    std::ofstream{path} << text;
    return path;
  }

  ExitCode explain(std::string_view id, std::vector<std::string_view> files) {
    return explainRequest(id, files, {Out, Err});
  }

  TestDirectory Directory;
  std::ostringstream Out;
  std::ostringstream Err;
};

constexpr const char *Log =
    R"({"t":1.0,"p":"vm-1","ev":"plan_taken","version":7}
{"t":2.0,"p":"vm-1","ev":"upstream_draining","up":"i-9","svc":"s"}
{"t":3.000,"p":"vm-1","ev":"attempt_failed","id":"abc","svc":"s","up":"i-1","why":"answer broke off"}
{"t":3.100,"p":"vm-1","ev":"answered","id":"abc","up":"i-2","status":200,"took_ms":150,"waited_ms":2}
{"t":4.000,"p":"vm-1","ev":"refused","id":"def","svc":"s","why":"overloaded","run":"not-run","status":503,"n":0,"took_ms":780}
{"t":5.000,"p":"vm-1","ev":"refused","id":"ghi","svc":"s","why":"connection-lost","run":"unknown","status":502,"n":1}
)";

} // namespace

// Guards against an on-call engineer who has the id of a request and can't tell its cause.
TEST_F(ExplainTest, TellsTheCause) {
  const std::string file = write("vm-1.log", Log);
  EXPECT_EQ(explain("abc", {file}), ExitCode::Ok);
  EXPECT_NE(Out.str().find("plan_taken version=7"), std::string::npos);
  EXPECT_EQ(Out.str().find("i-9"), std::string::npos);
  EXPECT_NE(Out.str().find("Cause: answered by i-2 with 200 after 150 ms"), std::string::npos);
  EXPECT_NE(Out.str().find("at i-1, failed with: answer broke off"), std::string::npos);
  explain("def", {file});
  EXPECT_NE(Out.str().find("no upstream of s had room in time"), std::string::npos);
  explain("ghi", {file});
  EXPECT_NE(Out.str().find("an upstream may have run it"), std::string::npos);
}

// Guards against a VM that had no configuration, or was stopping, and is explained as if no route
// admitted the request.
TEST_F(ExplainTest, TellsWhyARequestWasNotPassedOn) {
  const std::string file = write("vm-1.log", R"({"t":6.0,"p":"vm-1","ev":"rejected","id":"jkl",)"
                                             R"("status":503,"why":"stopping","plan":7})"
                                             "\n");
  EXPECT_EQ(explain("jkl", {file}), ExitCode::Ok);
  EXPECT_NE(Out.str().find("rejected with 503 (stopping) under configuration 7"),
            std::string::npos);
}

// Guards against lines that are left out without a word.
TEST_F(ExplainTest, ReportsWhatItCannotRead) {
  const std::string file = write("vm-1.log", std::string{Log} + "not json\n{\"t\":1}\n");
  EXPECT_EQ(explain("abc", {file}), ExitCode::Invalid);
  EXPECT_NE(Err.str().find("vm-1.log:7: "), std::string::npos);
  EXPECT_NE(Err.str().find("vm-1.log:8: "), std::string::npos);
  EXPECT_EQ(explain("abc", {"/nowhere"}), ExitCode::Invalid);
  EXPECT_EQ(explain("xyz", {file}), ExitCode::Invalid);
}
