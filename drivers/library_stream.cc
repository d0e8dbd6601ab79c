// The GIOStream of a client's connection. It has no head file of its own: the
// type is known only here, and NewLibraryStream() is declared with the
// connection.
#include <gio/gio.h>

#include <memory>
#include <utility>

#include "drivers/client_connection.h"

namespace {

using cassiausher::ClientConnection;
using ConnectionPtr = std::shared_ptr<ClientConnection>;

struct LibraryInput {
  GInputStream parent;
  ConnectionPtr* connection;
};
struct LibraryInputClass {
  GInputStreamClass parent;
};
struct LibraryStream {
  GIOStream parent;
  ConnectionPtr* connection;
  GInputStream* input;
};
struct LibraryStreamClass {
  GIOStreamClass parent;
};

ClientConnection* ConnectionOfInput(gpointer input) {
  return reinterpret_cast<LibraryInput*>(input)->connection->get();
}

gssize ReadInput(GInputStream* input, void* buffer, gsize size, GCancellable*,
                 GError** error) {
  return ConnectionOfInput(input)->Read(static_cast<char*>(buffer), size,
                                        error);
}

gboolean CanPoll(GPollableInputStream*) { return TRUE; }

GPollableInputStream* TransportInput(gpointer input) {
  return G_POLLABLE_INPUT_STREAM(
      g_io_stream_get_input_stream(ConnectionOfInput(input)->transport()));
}

gboolean IsReadable(GPollableInputStream* input) {
  return ConnectionOfInput(input)->HasOutput() ||
         g_pollable_input_stream_is_readable(TransportInput(input));
}

gssize ReadPollable(GPollableInputStream* input, void* buffer, gsize size,
                    GError** error) {
  return ReadInput(G_INPUT_STREAM(input), buffer, size, nullptr, error);
}

// Ready when its time has come, which WatchOutput() is told to set.
GSource* NewWakeSource() {
  static GSourceFuncs functions = {
      nullptr,
      nullptr,
      [](GSource* source, GSourceFunc, gpointer) -> gboolean {
        g_source_set_ready_time(source, -1);
        return G_SOURCE_CONTINUE;
      },
      nullptr,
      nullptr,
      nullptr};
  return g_source_new(&functions, sizeof(GSource));
}

GSource* CreateSource(GPollableInputStream* input, GCancellable* cancellable) {
  GSource* source = g_pollable_source_new_full(input, nullptr, cancellable);
  GSource* wake = NewWakeSource();
  ConnectionOfInput(input)->WatchOutput(wake);
  g_source_add_child_source(source, wake);
  g_source_unref(wake);
  GSource* transport =
      g_pollable_input_stream_create_source(TransportInput(input), nullptr);
  g_source_set_dummy_callback(transport);
  g_source_add_child_source(source, transport);
  g_source_unref(transport);
  return source;
}

void InitPollable(gpointer interface, gpointer) {
  auto* functions = static_cast<GPollableInputStreamInterface*>(interface);
  functions->can_poll = &CanPoll;
  functions->is_readable = &IsReadable;
  functions->create_source = &CreateSource;
  functions->read_nonblocking = &ReadPollable;
}

void FinalizeInput(GObject* object);

void InitInputClass(gpointer type, gpointer) {
  G_OBJECT_CLASS(type)->finalize = &FinalizeInput;
  G_INPUT_STREAM_CLASS(type)->read_fn = &ReadInput;
}

GType InputType() {
  static const GType type = [] {
    const GType created = g_type_register_static_simple(
        G_TYPE_INPUT_STREAM, "CassiausherLibraryInput",
        sizeof(LibraryInputClass), &InitInputClass, sizeof(LibraryInput),
        nullptr, static_cast<GTypeFlags>(0));
    const GInterfaceInfo pollable = {&InitPollable, nullptr, nullptr};
    g_type_add_interface_static(created, G_TYPE_POLLABLE_INPUT_STREAM,
                                &pollable);
    return created;
  }();
  return type;
}

void FinalizeInput(GObject* object) {
  delete reinterpret_cast<LibraryInput*>(object)->connection;
  G_OBJECT_CLASS(g_type_class_peek_parent(G_OBJECT_GET_CLASS(object)))
      ->finalize(object);
}

LibraryStream* StreamOf(gpointer object) {
  return reinterpret_cast<LibraryStream*>(object);
}

GInputStream* InputOf(GIOStream* stream) { return StreamOf(stream)->input; }

GOutputStream* OutputOf(GIOStream* stream) {
  return g_io_stream_get_output_stream(
      (*StreamOf(stream)->connection)->transport());
}

gboolean Close(GIOStream* stream, GCancellable*, GError**) {
  ClientConnection* connection = StreamOf(stream)->connection->get();
  connection->OnClosed();
  g_socket_close(connection->socket(), nullptr);
  return TRUE;
}

// GIO would close the stream on another thread.
void CloseAsync(GIOStream* stream, int, GCancellable* cancellable,
                GAsyncReadyCallback callback, gpointer data) {
  GTask* task = g_task_new(stream, cancellable, callback, data);
  Close(stream, nullptr, nullptr);
  g_task_return_boolean(task, TRUE);
  g_object_unref(task);
}

gboolean FinishClose(GIOStream*, GAsyncResult* result, GError** error) {
  return g_task_propagate_boolean(G_TASK(result), error);
}

void FinalizeStream(GObject* object);

void InitStreamClass(gpointer type, gpointer) {
  G_OBJECT_CLASS(type)->finalize = &FinalizeStream;
  G_IO_STREAM_CLASS(type)->get_input_stream = &InputOf;
  G_IO_STREAM_CLASS(type)->get_output_stream = &OutputOf;
  G_IO_STREAM_CLASS(type)->close_fn = &Close;
  G_IO_STREAM_CLASS(type)->close_async = &CloseAsync;
  G_IO_STREAM_CLASS(type)->close_finish = &FinishClose;
}

GType StreamType() {
  static const GType type = g_type_register_static_simple(
      G_TYPE_IO_STREAM, "CassiausherLibraryStream", sizeof(LibraryStreamClass),
      &InitStreamClass, sizeof(LibraryStream), nullptr,
      static_cast<GTypeFlags>(0));
  return type;
}

// GIOStream has closed the stream before, in its dispose().
void FinalizeStream(GObject* object) {
  LibraryStream* stream = StreamOf(object);
  g_object_unref(stream->input);
  delete stream->connection;
  G_OBJECT_CLASS(g_type_class_peek_parent(G_OBJECT_GET_CLASS(object)))
      ->finalize(object);
}

}  // namespace

namespace cassiausher {

GObjectPtr<GIOStream> NewLibraryStream(ConnectionPtr connection) {
  auto* input =
      reinterpret_cast<LibraryInput*>(g_object_new(InputType(), nullptr));
  input->connection = new ConnectionPtr(connection);
  auto* stream =
      reinterpret_cast<LibraryStream*>(g_object_new(StreamType(), nullptr));
  stream->connection = new ConnectionPtr(std::move(connection));
  stream->input = G_INPUT_STREAM(input);
  return GObjectPtr<GIOStream>(G_IO_STREAM(stream));
}

}  // namespace cassiausher
