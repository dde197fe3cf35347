#pragma once

namespace bilberrytrail {

class TableService;
class ObjectStore;
class VmList;
class JsonFields;
struct TableRow;
struct TableWrite;
struct CommitOutcome;
struct VmEntry;

} // namespace bilberrytrail
