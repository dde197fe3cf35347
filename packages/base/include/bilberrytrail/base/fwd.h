#pragma once

namespace bilberrytrail {

enum class ErrorCode : unsigned char;
struct Error;
struct Endpoint;
class Random;
class HistogramRegistry;

} // namespace bilberrytrail
