#pragma once

namespace bilberrytrail {

enum class WorkClass : unsigned char;
enum class Disposition : unsigned char;
enum class RefusalReason : unsigned char;
enum class LimitVerdict : unsigned char;
enum class QuarantineVerdict : unsigned char;
class AccountLimiter;
class AnswerAssembler;
class AttemptLedger;
class CompleteAnswer;
class ExtraWorkBudget;
class HedgePolicy;
class NotRunProof;
class Quarantine;
class Refusal;
class RetryPolicy;
class ServerChooser;
class ServerHealth;
class ServerQueue;
class ShareAllocator;
class WorkEstimator;
struct QueueEntry;
struct ServerCandidate;
struct WorkEstimate;

} // namespace bilberrytrail
