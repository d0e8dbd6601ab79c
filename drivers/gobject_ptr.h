// unique_ptr types that own GLib objects.
#ifndef DRIVERS_GOBJECT_PTR_H_
#define DRIVERS_GOBJECT_PTR_H_

#include <glib-object.h>
#include <glib.h>

#include <memory>

namespace cassiausher {

struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference.
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

/// Adds a reference and returns its owner.
template <typename T>
GObjectPtr<T> ShareGObject(T* object) {
  return GObjectPtr<T>(static_cast<T*>(g_object_ref(object)));
}

struct GBytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using GBytesPtr = std::unique_ptr<GBytes, GBytesUnref>;

struct GErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

struct GSourceDestroy {
  void operator()(GSource* source) const {
    g_source_destroy(source);
    g_source_unref(source);
  }
};
/// Detaches the source from its context and drops the reference.
using GSourcePtr = std::unique_ptr<GSource, GSourceDestroy>;

}  // namespace cassiausher

#endif  // DRIVERS_GOBJECT_PTR_H_
