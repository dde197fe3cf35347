#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Stand-ins that the review's scripts share: an HTTP server and client on
// plain sockets, the platform's table service, daemons as separate processes,
// and the record. All addresses are on loopback.
namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline double
Seconds()
{
  static const auto sStart = Clock::now();
  return std::chrono::duration<double>(Clock::now() - sStart).count();
}

inline void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

// Writes lines with the time since the start to record.txt.
class Record
{
public:
  static Record& Get()
  {
    static Record sRecord;
    return sRecord;
  }
  void Open(const std::string& aPath) { mFile.open(aPath); }
  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    std::array<char, 32> time{};
    (void)std::snprintf(time.data(), time.size(), "%8.3f ", Seconds());
    mFile << time.data() << aLine << "\n";
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline void
Note(const std::string& aLine)
{
  Record::Get().Add(aLine);
}

// Ends the case as one that could not run.
[[noreturn]] inline void
CannotRun(const std::string& aReason)
{
  Note("could not run: " + aReason);
  std::fprintf(stderr, "could not run: %s\n", aReason.c_str());
  std::exit(2);
}

// An address of this process's own, so that a free port of it stays free
// whatever runs beside.
inline std::string
OwnHost()
{
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + (pid >> 8U) % 250) + "." +
         std::to_string(pid % 256) + ".1";
}

inline sockaddr_in
ToAddress(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

inline int
Listen(const std::string& aHost, int aPort, int& aBoundPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = ToAddress(aHost, aPort);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    CannotRun("cannot listen on " + aHost);
  }
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aBoundPort = ntohs(address.sin_port);
  return fd;
}

// Returns free ports of the own host, found while all of them are bound.
inline std::vector<int>
FreePorts(std::size_t aCount)
{
  std::vector<int> ports(aCount);
  std::vector<int> handles;
  for (auto& it : ports) {
    handles.push_back(Listen(OwnHost(), 0, it));
  }
  for (const int it : handles) {
    ::close(it);
  }
  return ports;
}

inline std::string
Lower(std::string aText)
{
  std::ranges::transform(
    aText, aText.begin(), [](unsigned char c) { return std::tolower(c); });
  return aText;
}

// A request or a response; names of headers are in lower case.
struct Message
{
  // The method and the target, or the status.
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  // The message has arrived whole.
  bool mIsWhole = false;

  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto it = mHeaders.find(Lower(aName));
    return it == mHeaders.end() ? std::string() : it->second;
  }
};

// A socket with the bytes that were read ahead.
class Stream
{
public:
  explicit Stream(int aHandle)
    : mHandle(aHandle)
  {
    const int on = 1;
    ::setsockopt(mHandle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Stream() { ::close(mHandle); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  [[nodiscard]] int Handle() const noexcept { return mHandle; }

  bool Write(std::string_view aText) const
  {
    while (!aText.empty()) {
      const auto n = ::send(mHandle, aText.data(), aText.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      aText.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  // Reads some bytes. Returns false at the end, on an error or at aUntil.
  bool Fill(Clock::time_point aUntil)
  {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      aUntil - Clock::now());
    pollfd handle{ mHandle, POLLIN, 0 };
    const auto wait = std::clamp<std::int64_t>(left.count() + 1, 0, 600'000);
    if (left.count() < 0 || ::poll(&handle, 1, static_cast<int>(wait)) <= 0) {
      mHasTimedOut = true;
      return false;
    }
    std::array<char, 16384> buf{};
    const auto n = ::recv(mHandle, buf.data(), buf.size(), 0);
    if (n <= 0) {
      mHasEnded = n == 0;
      return false;
    }
    mBuffer.append(buf.data(), static_cast<std::size_t>(n));
    return true;
  }
  // Reads a message. Returns nothing when no head arrives.
  std::optional<Message> Read(Clock::time_point aUntil)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message = ParseHead(mBuffer.substr(0, end));
    mBuffer.erase(0, end + 4);
    ReadBody(message, aUntil);
    return message;
  }
  // Resets the connection when it is closed.
  void ResetOnClose() const
  {
    const linger now{ 1, 0 };
    ::setsockopt(mHandle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

  bool mHasTimedOut = false;
  bool mHasEnded = false;
  std::string mBuffer;

private:
  static Message ParseHead(const std::string& aHead)
  {
    Message message;
    std::size_t at = aHead.find("\r\n");
    const auto first = aHead.substr(0, at);
    const auto space = first.find(' ');
    const auto next = first.find(' ', space + 1);
    message.mMethod = first.substr(0, space);
    message.mTarget = first.substr(space + 1, next - space - 1);
    message.mStatus = std::atoi(message.mTarget.c_str());
    while (at != std::string::npos) {
      const auto begin = at + 2;
      at = aHead.find("\r\n", begin);
      const auto line = aHead.substr(begin, at - begin);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.mHeaders[Lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
      }
    }
    return message;
  }
  void ReadBody(Message& aMessage, Clock::time_point aUntil)
  {
    if (Lower(aMessage.Header("Transfer-Encoding")) == "chunked") {
      ReadChunks(aMessage, aUntil);
      return;
    }
    const auto length = aMessage.Header("Content-Length");
    if (length.empty() && aMessage.mMethod.starts_with("HTTP/")) {
      while (Fill(aUntil)) {
      }
      aMessage.mBody = std::exchange(mBuffer, {});
      aMessage.mIsWhole = mHasEnded;
      return;
    }
    const auto count = length.empty() ? 0 : std::stoul(length);
    while (mBuffer.size() < count && Fill(aUntil)) {
    }
    aMessage.mIsWhole = mBuffer.size() >= count;
    aMessage.mBody = mBuffer.substr(0, count);
    mBuffer.erase(0, count);
  }
  void ReadChunks(Message& aMessage, Clock::time_point aUntil)
  {
    while (true) {
      std::size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(aUntil)) {
          return;
        }
      }
      const auto size = std::strtoul(mBuffer.c_str(), nullptr, 16);
      while (mBuffer.size() < end + 2 + size + 2) {
        if (!Fill(aUntil)) {
          aMessage.mBody += mBuffer.substr(end + 2, size);
          return;
        }
      }
      aMessage.mBody += mBuffer.substr(end + 2, size);
      mBuffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        aMessage.mIsWhole = true;
        return;
      }
    }
  }

  const int mHandle;
};

// Connects within a second; returns null if that fails.
inline std::unique_ptr<Stream>
Connect(const std::string& aHost, int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{ 1, 0 };
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const auto address = ToAddress(aHost, aPort);
  if (::connect(fd,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<Stream>(fd);
}

inline std::string
ToText(int aStatus,
       const std::vector<std::pair<std::string, std::string>>& aHeaders,
       const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

// Serves connections, each on a thread of its own. The handler writes the
// answer itself and returns whether the connection goes on.
class Server
{
public:
  using Handler = std::function<bool(const Message&, Stream&)>;

  explicit Server(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mListener = Listen(OwnHost(), 0, mPort);
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] int Port() const noexcept { return mPort; }
  [[nodiscard]] std::string Address() const
  {
    return OwnHost() + ":" + std::to_string(mPort);
  }

private:
  void Accept()
  {
    while (true) {
      const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }
  void Serve(int aHandle)
  {
    Stream stream(aHandle);
    while (const auto request = stream.Read(Clock::now() + 600s)) {
      if (!request->mIsWhole || !mHandler(*request, stream)) {
        return;
      }
    }
  }

  Handler mHandler;
  int mListener = -1;
  int mPort = 0;
};

inline std::string
ToBase64(const std::string& aText)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < aText.size(); n += 3) {
    unsigned bits = 0;
    for (std::size_t m = 0; m < 3; ++m) {
      bits =
        (bits << 8U) |
        (n + m < aText.size() ? static_cast<unsigned char>(aText[n + m]) : 0U);
    }
    for (std::size_t m = 0; m < 4; ++m) {
      out +=
        n + m <= aText.size() ? kDigits[(bits >> (18 - 6 * m)) & 63U] : '=';
    }
  }
  return out;
}

inline std::string
FromBase64(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : aText) {
    const auto at = kDigits.find(c);
    if (at == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<unsigned>(at);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return out;
}

// The platform's table service.
class Table
{
public:
  // Changes a row's value on its way to the daemon of a port.
  using View = std::function<std::string(const std::string& aTable,
                                         const std::string& aKey,
                                         const std::string& aValue)>;

  std::uint64_t Put(const std::string& aTable,
                    const std::string& aKey,
                    const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    mRows[{ aTable, aKey }] = { aValue, ++mVersion, false };
    return mVersion;
  }
  std::uint64_t Put(const std::string& aTable,
                    const std::string& aKey,
                    const Json& aValue)
  {
    return Put(aTable, aKey, aValue.dump());
  }
  bool Serve(const Message& aRequest, Stream& aStream, const View& aView = {})
  {
    const auto query = Query(aRequest.mTarget);
    if (aRequest.mTarget.starts_with("/rows-get?")) {
      return Answer(aStream, 200, Get(query, aView));
    }
    if (aRequest.mTarget.starts_with("/rows-feed?")) {
      return Answer(aStream, 200, Feed(query, aView));
    }
    if (aRequest.mTarget == "/rows-tx") {
      Sleep(0.005);
      auto [status, body] = Commit(Json::parse(aRequest.mBody));
      return Answer(aStream, status, body);
    }
    return Answer(aStream, 404, Json::object());
  }

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mRemoved = false;
  };
  using Fields = std::map<std::string, std::string>;

  static Fields Query(const std::string& aTarget)
  {
    Fields fields;
    std::string name;
    std::string text;
    for (auto n = aTarget.find('?') + 1; n <= aTarget.size(); ++n) {
      if (n == aTarget.size() || aTarget[n] == '&') {
        fields[name] = text;
        text.clear();
      } else if (aTarget[n] == '=') {
        name = std::exchange(text, {});
      } else if (aTarget[n] == '%') {
        text += static_cast<char>(
          std::strtol(aTarget.substr(n + 1, 2).c_str(), nullptr, 16));
        n += 2;
      } else {
        text += aTarget[n];
      }
    }
    return fields;
  }
  static bool Answer(Stream& aStream, int aStatus, const Json& aBody)
  {
    return aStream.Write(ToText(
      aStatus, { { "Content-Type", "application/json" } }, aBody.dump()));
  }
  Json Rows(const Fields& aQuery, std::uint64_t aAfter, const View& aView)
  {
    auto rows = Json::array();
    const auto find = [&](const char* aName) {
      const auto it = aQuery.find(aName);
      return it == aQuery.end() ? std::string() : it->second;
    };
    for (const auto& [name, row] : mRows) {
      if (name.first != find("table") || name.second < find("from") ||
          (!find("target").empty() && name.second >= find("target")) ||
          row.mVersion <= aAfter || (row.mRemoved && aAfter == 0)) {
        continue;
      }
      Json json{ { "table", name.first },
                 { "part", "" },
                 { "key", name.second },
                 { "ver", row.mVersion } };
      if (row.mRemoved) {
        json["removed"] = true;
      } else {
        json["value"] = ToBase64(
          aView ? aView(name.first, name.second, row.mValue) : row.mValue);
      }
      rows.push_back(std::move(json));
    }
    return rows;
  }
  Json Page(Json aRows) const
  {
    return { { "rows", std::move(aRows) },
             { "has_more", false },
             { "ver", mVersion },
             { "now_ms", static_cast<std::uint64_t>(Seconds() * 1000) } };
  }
  Json Get(const Fields& aQuery, const View& aView)
  {
    const std::lock_guard lock(mMutex);
    return Page(Rows(aQuery, 0, aView));
  }
  Json Feed(const Fields& aQuery, const View& aView)
  {
    const auto after = std::stoull(aQuery.at("after"));
    const auto end =
      Clock::now() + std::chrono::milliseconds(std::stoi(aQuery.at("wait_ms")));
    while (true) {
      {
        const std::lock_guard lock(mMutex);
        auto rows = Rows(aQuery, after, aView);
        if (!rows.empty() || Clock::now() >= end) {
          return Page(std::move(rows));
        }
      }
      Sleep(0.005);
    }
  }
  std::pair<int, Json> Commit(const Json& aBody)
  {
    const std::lock_guard lock(mMutex);
    const auto nameOf = [](const Json& aRow) {
      return std::pair(aRow.at("table").get<std::string>(),
                       aRow.at("key").get<std::string>());
    };
    bool holds = true;
    auto current = Json::array();
    for (const auto& it : aBody.at("expected")) {
      const auto row = mRows.find(nameOf(it));
      const bool isThere = row != mRows.end() && !row->second.mRemoved;
      const auto version = isThere ? row->second.mVersion : 0;
      holds = holds && version == it.at("ver").get<std::uint64_t>();
      if (isThere) {
        current.push_back({ { "table", row->first.first },
                            { "part", "" },
                            { "key", row->first.second },
                            { "ver", version },
                            { "value", ToBase64(row->second.mValue) } });
      }
    }
    if (!holds) {
      return { 412, { { "rows", current }, { "ver", mVersion } } };
    }
    ++mVersion;
    for (const auto& it : aBody.at("put")) {
      mRows[nameOf(it)] = { FromBase64(it.at("value")), mVersion, false };
    }
    for (const auto& it : aBody.at("remove")) {
      mRows[nameOf(it)] = { {}, mVersion, true };
    }
    return { 200, { { "ver", mVersion }, { "now_ms", 0 } } };
  }

  std::mutex mMutex;
  std::map<std::pair<std::string, std::string>, Row> mRows;
  std::uint64_t mVersion = 0;
};

// Returns a route of the configuration.
inline Json
Route(const std::string& aName,
      const std::string& aType,
      const std::string& aService,
      int aTimeoutMs,
      int aObjectiveMs,
      int aAttempts)
{
  return { { "name", aName },
           { "host", "h.example" },
           { "prefix", "/" + aName + "/" },
           { "route_type", aType },
           { "timeout_ms", aTimeoutMs },
           { "target_latency_ms", aObjectiveMs },
           { "priority", 1 },
           { "service", aService },
           { "max_attempts", aAttempts },
           { "session_affinity", aType == "streaming" } };
}

// Returns a configuration like that of the users' sheet: streams of a model
// service, orders that may run once and reads that may be repeated.
inline Json
Config(std::uint64_t aVersion, const std::vector<std::string>& aKeys)
{
  return { { "version", aVersion },
           { "routes",
             { Route("stream", "streaming", "llm", 3000, 300, 1),
               Route("order", "non_idempotent", "shop", 1000, 100, 1),
               Route("read", "idempotent", "shop", 1000, 100, 2) } },
           { "services",
             { { { "name", "llm" },
                 { "engine",
                   { { "slots", 128 },
                     { "kv_capacity_tokens", 254920 },
                     { "kv_token_bytes", 18432 },
                     { "models", { { { "name", "m0" } } } } } } },
               { { "name", "shop" } } } },
           { "tenants", { { { "name", "wick" }, { "api_keys", aKeys } } } },
           { "limits",
             { { "header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 5000 },
               { "idle_timeout_ms", 30000 } } } };
}

// Answers 421 to a request for another server. Returns whether it did.
inline bool
IsMisdirected(const std::string& aServer,
              const Message& aRequest,
              const Stream& aStream)
{
  if (aRequest.Header("Bilberrytrail-Target-Instance") == aServer) {
    return false;
  }
  aStream.Write(ToText(421,
                       { { "Bilberrytrail-Request-Id",
                           aRequest.Header("Bilberrytrail-Request-Id") } },
                       ""));
  return true;
}

// Returns the row of a server, of an engine when it has weights.
inline Json
ServerRow(const std::string& aAddress,
          const std::string& aService,
          std::uint64_t aWeights = 0)
{
  Json row{ { "service", aService }, { "address", aAddress },
            { "zone", "z1" },        { "version", 1 },
            { "slots", 128 },        { "state", "ready" },
            { "sequence", 1 },       { "born", 1'700'000'000'000 } };
  if (aWeights > 0) {
    row["stage"] = "unified";
    row["models"] = { { { "name", "m0" },
                        { "version", aWeights },
                        { "adapters", Json::array() } } };
  }
  return row;
}

// A daemon as a process of its own, with the command of the deploy file.
class Daemon
{
public:
  Daemon(std::string aName, std::string aStoreAddress, std::string aFolder)
    : mName(std::move(aName))
    , mStore(std::move(aStoreAddress))
    , mFolder(std::move(aFolder))
  {
    mPorts = FreePorts(4);
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  [[nodiscard]] int Port() const { return mPorts[0]; }
  [[nodiscard]] pid_t Pid() const { return mPid; }

  void Start()
  {
    const auto path = mFolder + "/" + mName + ".ini";
    const auto address = [&](std::size_t aNumber) {
      return OwnHost() + ":" + std::to_string(mPorts[aNumber]) + "\n";
    };
    std::ofstream file(path);
    file << "[daemon]\nname = " << mName << "\nzone = z1\nlink_mbps = 1000\n"
         << "[listen]\ncallers = " << address(0) << "readiness = " << address(1)
         << "peers = " << address(2) << "metrics = " << address(3)
         << "[store]\naddress = " << mStore << "\n[stop]\ntime = 8s\n"
         << "[retries]\nratio = 0.2\nslack = 58\nwindow = 10s\n"
         << "[weights]\norder_gap = 3000ms\nwithin = 12000ms\n";
    file.close();
    const auto log = mFolder + "/" + mName + ".log";
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("BILBERRYTRAIL_CONFIG", path.c_str(), 1);
      (void)!std::freopen(log.c_str(), "a", stdout);
      (void)!std::freopen(log.c_str(), "a", stderr);
      ::execl("target/bilberryd", "target/bilberryd", "--entry", nullptr);
      std::_Exit(127);
    }
    Note("daemon " + mName + " started");
  }
  void AwaitReady() const
  {
    for (int n = 0; n < 200; ++n) {
      if (auto stream = Connect(OwnHost(), mPorts[1])) {
        stream->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = stream->Read(Clock::now() + 1s);
        if (answer && answer->mStatus == 200) {
          Note("daemon " + mName + " is ready");
          return;
        }
      }
      Sleep(0.05);
    }
    CannotRun("daemon " + mName + " is not ready within 10 s");
  }
  // Returns whether the process runs; notes how it has ended.
  bool IsRunning()
  {
    if (mPid <= 0) {
      return false;
    }
    int status = 0;
    if (::waitpid(mPid, &status, WNOHANG) == 0) {
      return true;
    }
    Note("daemon " + mName + " has ended by itself, " +
         (WIFSIGNALED(status)
            ? "signal " + std::to_string(WTERMSIG(status))
            : "status " + std::to_string(WEXITSTATUS(status))));
    mPid = -1;
    return false;
  }
  // Returns the memory that the process uses, in MB.
  [[nodiscard]] double MemoryMb() const
  {
    std::ifstream file("/proc/" + std::to_string(mPid) + "/status");
    std::string word;
    while (file >> word) {
      if (word == "VmRSS:") {
        double kilobytes = 0;
        file >> kilobytes;
        return kilobytes * 1024 / 1e6;
      }
    }
    return 0;
  }
  void Kill()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }

private:
  std::string mName;
  std::string mStore;
  std::string mFolder;
  std::vector<int> mPorts;
  pid_t mPid = -1;
};

// Returns a client's request for the configuration above.
inline std::string
ClientRequest(const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aId,
              const std::string& aKey,
              int aDeadlineMs,
              const std::string& aBody)
{
  std::string text =
    aMethod + " " + aTarget + " HTTP/1.1\r\n" +
    "Host: h.example\r\nBilberrytrail-Request-Id: " + aId +
    "\r\nBilberrytrail-Deadline-Ms: " + std::to_string(aDeadlineMs) +
    "\r\nBilberrytrail-Credential: " + aKey + "\r\n";
  if (aTarget.starts_with("/stream/")) {
    text += "Bilberrytrail-Model: m0\r\nBilberrytrail-Token-Usage: 20,50\r\n"
            "Bilberrytrail-Prompt-Prefix: a1:10,b" +
            aId + ":10\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

// Whether the script runs with its disruption.
inline bool&
Trouble()
{
  static bool sTrouble = true;
  return sTrouble;
}

inline bool
HasTrouble()
{
  return Trouble();
}

// Prepares a case: argv holds its folder, a temporary one, and 0 to leave the
// disruption out.
inline std::string
Begin(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::fprintf(stderr, "usage: case FOLDER TEMPORARY-FOLDER TROUBLE\n");
    std::exit(2);
  }
  Trouble() = std::string(aArguments[3]) != "0";
  (void)Seconds();
  ::signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(std::string(aArguments[1]) + "/record.txt");
  Note(HasTrouble() ? "with the disruption" : "without the disruption");
  return aArguments[2];
}

// Ends the case without waiting for the threads of the stand-ins.
[[noreturn]] inline void
Finish(bool aIsBroken)
{
  Note(aIsBroken ? "the rule is broken" : "the rule holds");
  std::printf("%s\n", aIsBroken ? "the rule is broken" : "the rule holds");
  std::fflush(nullptr);
  std::_Exit(aIsBroken ? 1 : 0);
}

} // namespace review
