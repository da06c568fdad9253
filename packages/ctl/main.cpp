/** @file main.cpp Entry point of corianderctl. */

#include <iostream>

#include "ctl/command_line.h"

int main(int argc, const char** argv) {
  return static_cast<int>(
      corianderrail::RunCommandLine(argc, argv, std::cout, std::cerr));
}
