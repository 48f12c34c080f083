#include <Services/Ctl/Commands.h>

#include <gflags/gflags.h>

#include <iostream>
#include <vector>

int main(int argc, char **argv) {
  gflags::SetVersionString(WIGEONLIFT_VERSION);
  gflags::SetUsageMessage("wigeonlift-ctl COMMAND\n"
                          "  check FILE     validates a catalogue as the fleet does\n"
                          "  digest FILE... prints the items of the list of parts for these files\n"
                          "  state ADDRESS  shows the state of the VM with that operator address\n"
                          "  which ADDRESS  asks for entry addresses as a caller does\n"
                          "  explain ID FILE... tells the story of a request from log lines");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string_view> words{argv + 1, argv + argc};
  return static_cast<int>(wigeonlift::runCommand(words, {std::cout, std::cerr}));
}
