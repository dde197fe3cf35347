#pragma once

namespace bilberrytrail {

enum class WorkClass : unsigned char;
enum class Disposition : unsigned char;
enum class RefusalReason : unsigned char;
class AttemptLedger;
class NotRunProof;
class Refusal;
class AnswerAssembler;
class CompleteAnswer;
class ServerQueue;
struct QueueEntry;

} // namespace bilberrytrail
