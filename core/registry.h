// Registry of plug-ins of one kind. Modules register factories by name in their
// register_types.cc; the kernel creates the plug-ins by name.
#ifndef CORE_REGISTRY_H_
#define CORE_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cassiausher {

/// Creates objects of `Interface` by name. Populated once at startup, before
/// any task runs, and read-only afterwards, so reads need no lock.
template <typename Interface, typename... Args>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  /// Returns false if `name` is already registered.
  bool Register(std::string name, Factory factory) {
    return factories_.emplace(std::move(name), std::move(factory)).second;
  }

  /// Returns null if no plug-in is registered under `name`.
  std::unique_ptr<Interface> Create(const std::string& name,
                                    Args... args) const {
    const auto found = factories_.find(name);
    if (found == factories_.end()) return nullptr;
    return found->second(std::forward<Args>(args)...);
  }

  /// Names in alphabetical order.
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : factories_) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> factories_;
};

}  // namespace cassiausher

#endif  // CORE_REGISTRY_H_
