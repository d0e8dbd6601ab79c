// What a process of this project sets at its start, so that the machine doesn't
// end it: signals, standard descriptors and limits.
#ifndef DRIVERS_PROCESS_SETUP_H_
#define DRIVERS_PROCESS_SETUP_H_

namespace cassiausher {

/// Opens /dev/null in place of each standard descriptor that is closed. Else
/// the first file or socket would get its number, and log lines would be
/// written into it. Call before anything opens a descriptor.
void OpenStandardDescriptors();

/// Ignores the signals whose default ends the process and that ask nothing of
/// it, but for those that already have a handler: some are sent by limits (file
/// sizes, processor time), others by mistake.
void IgnoreStraySignals();

/// Delivers `from` as `to` from now on.
void RedirectSignal(int from, int to);

/// Writes a line about what ends the process: an exception that nobody catches,
/// or a signal of a fault. Signals that already have a handler keep it.
void LogFaults();

/// Makes threads reserve less address space, which some systems limit in place
/// of memory. Call before the first thread starts.
void LimitThreadMemory();

/// Raises the limit of descriptors as far as the system allows.
void RaiseDescriptorLimit();

/// The limit in force. Descriptors have lower numbers.
int DescriptorLimit();

// From which descriptor on a server ends idle connections (`max_descriptor` of
// HttpServerOptions).

/// For callers whose requests take another descriptor each, to an endpoint.
int MaxForwardedDescriptor();
/// For other connections. What is above is left to the peers and the disk.
int MaxServedDescriptor();

}  // namespace cassiausher

#endif  // DRIVERS_PROCESS_SETUP_H_
