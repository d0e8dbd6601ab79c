// Seeded random numbers. Every randomised decision takes a generator, so that a
// run can be reproduced from its seed.
#ifndef CORE_RANDOM_H_
#define CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace cassiausher {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// Uniform over [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }
  /// Uniform over [0, 1).
  double Unit() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
  }
  bool Chance(double probability) { return Unit() < probability; }

  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cassiausher

#endif  // CORE_RANDOM_H_
