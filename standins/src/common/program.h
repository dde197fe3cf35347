#pragma once

#include "common/options.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <functional>
#include <span>

namespace bilberrytrail::standins {

// Serves a handler on loopback until SIGTERM or SIGINT and prints "listening
// PORT" once it accepts. Returns the exit status.
[[nodiscard]] int
ServeUntilSignal(Loop& aLoop, HttpHandler& aHandler, const Options& aOptions);

// Reads the command line and runs the program; prints the help text and
// returns 2 when the command line is wrong. The options "host" and "port" are
// read by ServeUntilSignal.
[[nodiscard]] int
RunProgram(int aCount,
           char** aArguments,
           std::span<const OptionSpec> aSpecs,
           const std::function<int(const Options&)>& aRun);

// The options that every program has.
inline constexpr OptionSpec kHostOption{ "host",
                                         OptionKind::Text,
                                         "127.0.0.1",
                                         "address to listen on" };
inline constexpr OptionSpec kPortOption{ "port",
                                         OptionKind::Number,
                                         "0",
                                         "port to listen on, 0 for any" };

} // namespace bilberrytrail::standins
