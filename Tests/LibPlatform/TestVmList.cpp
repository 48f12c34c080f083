#include <LibPlatform/LibPlatform.h>

#include <gtest/gtest.h>

using namespace wigeonlift;

// Guards against an invalid element that makes the whole list unreadable, and against entry VMs
// that are listed without a peer address.
TEST(VmList, SkipsIncompleteElements) {
  const auto list = parseVmList(R"({"vms":[
    {"name":"a","address":"1.1.1.1:1","role":"rankview","data_centre":"d","region":"r","state":"leaving"},
    {"name":"b","address":"1.1.1.1:2","role":"entry","state":"live"},
    {"name":5,"address":"1.1.1.1:3","role":"rankview"}, "text", {}]})");
  ASSERT_TRUE(list.ok());
  ASSERT_EQ(list->size(), 1U);
  EXPECT_EQ(list->front(), (ListedVm{"a", "1.1.1.1:1", "", "rankview", "d", "r", true}));
}

// Guards against an error page that is parsed as an empty list.
TEST(VmList, RejectsMalformedLists) {
  for (const char *text : {"", "[]", "{}", "{\"vms\":{}}", "<html>", "{\"vms\":["})
    EXPECT_FALSE(parseVmList(text).ok()) << text;
}

// Guards against list traffic that grows with the square of the number of entry VMs, and against
// a byte rate of one VM that grows with the size of the list.
TEST(VmListClient, ReadIntervalGrowsWithFleetAndListSize) {
  EXPECT_EQ(VmListClient::readInterval(1, 100), std::chrono::seconds{1});
  EXPECT_EQ(VmListClient::readInterval(48, 100), std::chrono::milliseconds{4800});
  EXPECT_EQ(VmListClient::readInterval(16, 8000), std::chrono::seconds{10});
  EXPECT_EQ(VmListClient::readInterval(40, 450'000), std::chrono::milliseconds{562'500});
  EXPECT_EQ(VmListClient::readInterval(10'000, 2'000'000), std::chrono::minutes{20});
}
