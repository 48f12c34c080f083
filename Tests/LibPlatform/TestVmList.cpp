#include <LibPlatform/LibPlatform.h>

#include <gtest/gtest.h>

using namespace wigeonlift;

// Guards against one bad element that hides the whole list, and against entry VMs without an
// address for peers.
TEST(VmList, SkipsIncompleteElements) {
  const auto list = parseVmList(R"({"vms":[
    {"name":"a","address":"1.1.1.1:1","role":"rankview","data_centre":"d","region":"r","state":"leaving"},
    {"name":"b","address":"1.1.1.1:2","role":"entry","state":"live"},
    {"name":5,"address":"1.1.1.1:3","role":"rankview"}, "text", {}]})");
  ASSERT_TRUE(list.ok());
  ASSERT_EQ(list->size(), 1U);
  EXPECT_EQ(list->front(), (ListedVm{"a", "1.1.1.1:1", "", "rankview", "d", "r", true}));
}

// Guards against an error page that is taken for a list without VMs.
TEST(VmList, RejectsMalformedLists) {
  for (const char *text : {"", "[]", "{}", "{\"vms\":{}}", "<html>", "{\"vms\":["})
    EXPECT_FALSE(parseVmList(text).ok()) << text;
}

// Guards against reads of the list that grow with the square of the fleet or with its size.
TEST(VmListClient, ReadIntervalGrowsWithFleetAndListSize) {
  EXPECT_EQ(VmListClient::readInterval(1, 100), std::chrono::seconds{1});
  EXPECT_EQ(VmListClient::readInterval(48, 100), std::chrono::milliseconds{4800});
  EXPECT_EQ(VmListClient::readInterval(16, 8000), std::chrono::seconds{10});
  EXPECT_EQ(VmListClient::readInterval(40, 450'000), std::chrono::milliseconds{562'500});
  EXPECT_EQ(VmListClient::readInterval(10'000, 2'000'000), std::chrono::minutes{20});
}
