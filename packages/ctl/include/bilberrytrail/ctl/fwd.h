#pragma once

namespace bilberrytrail {

enum class Command : unsigned char;
enum class ExitStatus : unsigned char;
struct CommandLine;
struct CommandOutput;
class OperatorTransport;
class OperatorApi;

} // namespace bilberrytrail
