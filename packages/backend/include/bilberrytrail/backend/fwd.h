#pragma once

namespace bilberrytrail {

class Engine;
class GenerateStream;
class EngineEventStream;
class Store;
class PlainService;
struct BlockRef;
struct GenerateRequest;
struct GenerateHead;
struct GenerateChunk;
struct EngineOrder;
struct EngineState;
struct EngineEvent;
struct TransferRequest;
struct StoreInventory;
struct StoredBlock;
struct BlockPin;
struct ServiceCall;
struct ServiceResponse;

} // namespace bilberrytrail
