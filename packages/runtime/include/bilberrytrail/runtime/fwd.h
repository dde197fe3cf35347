#pragma once

namespace bilberrytrail {

class Loop;
class Event;
struct HttpRequest;
struct HttpResponse;
struct HttpError;
class HttpResponder;
class HttpHandler;
class HttpServer;
class HttpStream;
class HttpClient;

} // namespace bilberrytrail
