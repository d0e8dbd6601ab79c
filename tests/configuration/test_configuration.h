// A small valid configuration that tests modify.
#ifndef TESTS_CONFIGURATION_TEST_CONFIGURATION_H_
#define TESTS_CONFIGURATION_TEST_CONFIGURATION_H_

#include <string>

#include "servers/configuration/configuration.h"

namespace cassiausher {

inline Configuration TestConfiguration() {
  Configuration configuration;
  configuration.revision = Revision(12);
  for (const char* name : {"long", "short"}) {
    configuration.classes[ClassId(name)].id = ClassId(name);
  }
  auto& service = configuration.services[ServiceId("fitting-assistant")];
  service.classes = {ClassId("long"), ClassId("short")};
  service.default_class = ClassId("long");
  configuration.accounts[AccountId("team-a")].token_hash = std::string(64, 'a');
  for (const char* name : {"east", "north", "west"}) {
    configuration.data_centres[DataCentreId(name)] = {};
    configuration.links[DataCentreId(name)] = {};
  }
  configuration.voters = {InstanceId("east-1"), InstanceId("north-1"),
                          InstanceId("west-1")};
  return configuration;
}

}  // namespace cassiausher

#endif  // TESTS_CONFIGURATION_TEST_CONFIGURATION_H_
