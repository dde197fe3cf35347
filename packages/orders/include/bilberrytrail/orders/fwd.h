#pragma once

namespace bilberrytrail {

enum class ClaimVerdict : unsigned char;
struct ClaimRow;
struct ClaimAction;
class ClaimedCall;
class ClaimBatcher;

} // namespace bilberrytrail
