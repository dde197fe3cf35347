#pragma once

namespace bilberrytrail {

struct PromptScope;
struct PromptBlocks;
class PromptDirectory;
class PrefixPlanner;
class InflightPrefixes;
class LinkBudget;
class FrequencySketch;
class RetentionPolicy;
class BlockExport;
class BlockImport;
class BlockRelease;

} // namespace bilberrytrail
