#pragma once

namespace bilberrytrail {

struct ProductState;
struct ReleaseNote;
struct ReleaseHead;
struct ReleaseBody;
class ReleaseAppend;
class ReleaseFollower;
class Lease;
class Reconciler;

} // namespace bilberrytrail
