// Guards against a plug-in that silently replaces another one of the same name.
#include "core/registry.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using cassiausher::Registry;

namespace {

struct Shape {
  virtual ~Shape() = default;
  virtual int Sides() const = 0;
};

struct Polygon : Shape {
  explicit Polygon(int sides) : sides_(sides) {}
  int Sides() const override { return sides_; }
  int sides_;
};

}  // namespace

TEST_GROUP(Registry){};

TEST(Registry, RegisteringATakenNameFails) {
  Registry<Shape> registry;
  CHECK(
      registry.Register("shape", [] { return std::make_unique<Polygon>(3); }));
  CHECK(
      !registry.Register("shape", [] { return std::make_unique<Polygon>(4); }));
  LONGS_EQUAL(3, registry.Create("shape")->Sides());
}

TEST(Registry, CreatingAnUnknownNameReturnsNull) {
  Registry<Shape> registry;
  CHECK(registry.Create("none") == nullptr);
}
