// Entry point of every test program. The leak detector of CppUTest is off: it
// replaces operator new, which the libraries in use don't expect. The sanitizer
// build finds leaks.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Forgets what static initialisers allocated before the line above: once the
  // detector is off, it doesn't see that such memory is freed and would read
  // it.
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(
      mem_leak_period_all);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
