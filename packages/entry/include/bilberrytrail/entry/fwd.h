#pragma once

namespace bilberrytrail {

class AccountKeys;
class BackendAnswer;
class BackendPort;
class CallerSink;
class EntryDaemon;
class RequestFlow;
class RouteTable;
class ServerPool;
class SiteFeed;
class SiteReplica;
class SiteReader;
struct BackendCall;
struct CallerRequest;
struct Route;
struct ServerRecord;
struct SiteConfig;
struct SiteView;

} // namespace bilberrytrail
