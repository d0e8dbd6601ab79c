// Entry point of cassiausherctl.
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "tools/ctl/command.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const char* token = std::getenv("CASSIAUSHER_TOKEN");
  return cassiausher::RunCommand(arguments, token == nullptr ? "" : token,
                                 std::cout, std::cerr);
}
