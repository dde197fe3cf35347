#include "site.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace site {

namespace {

const auto kBegin = std::chrono::steady_clock::now();

sockaddr_in
ToAddress(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

bool
IsSame(const std::string& aLeft, const std::string& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

std::string
ToBase64(const std::string& aText)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < aText.size(); n += 3) {
    std::uint32_t bits = 0;
    for (std::size_t m = 0; m < 3; ++m) {
      const auto byte =
        n + m < aText.size() ? static_cast<unsigned char>(aText[n + m]) : 0U;
      bits = (bits << 8U) | byte;
    }
    for (std::size_t m = 0; m < 4; ++m) {
      out +=
        m <= aText.size() - n ? kDigits[(bits >> (18 - 6 * m)) & 63U] : '=';
    }
  }
  return out;
}

std::string
FromBase64(const std::string& aText)
{
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : aText) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+') {
      digit = 62;
    } else if (c == '/') {
      digit = 63;
    } else {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return out;
}

std::string
Unescape(const std::string& aText)
{
  std::string out;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '%' && n + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += aText[n];
    }
  }
  return out;
}

// Reads the head of a message into its first line and headers.
bool
ReadHead(Connection& aConnection, std::string& aFirst, Headers& aHeaders)
{
  std::string head;
  if (!aConnection.ReadUntil("\r\n\r\n", head)) {
    return false;
  }
  std::size_t at = head.find("\r\n");
  aFirst = head.substr(0, at);
  aHeaders.clear();
  while (at + 2 < head.size()) {
    const auto begin = at + 2;
    at = head.find("\r\n", begin);
    const auto line = head.substr(begin, at - begin);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aHeaders.emplace_back(line.substr(0, colon), value);
    }
  }
  return true;
}

bool
ReadBody(Connection& aConnection, const Headers& aHeaders, std::string& aBody)
{
  aBody.clear();
  if (!IsSame(Find(aHeaders, "Transfer-Encoding"), "chunked")) {
    const auto length = Find(aHeaders, "Content-Length");
    return length.empty() || aConnection.ReadBytes(std::stoul(length), aBody);
  }
  while (true) {
    std::string size;
    std::string chunk;
    if (!aConnection.ReadUntil("\r\n", size)) {
      return false;
    }
    const auto count = std::stoul(size, nullptr, 16);
    if (!aConnection.ReadBytes(count + 2, chunk)) {
      return false;
    }
    if (count == 0) {
      return true;
    }
    aBody += chunk.substr(0, count);
  }
}

Answer
JsonAnswer(int aStatus, const Json& aBody)
{
  return { aStatus, { { "Content-Type", "application/json" } }, aBody.dump() };
}

} // namespace

double
Now()
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - kBegin)
    .count();
}

void
SleepMs(double aMs)
{
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
}

std::uint16_t
FreePort(const std::string& aHost)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = ToAddress(aHost, 0);
  socklen_t size = sizeof(address);
  std::uint16_t port = 0;
  if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    port = ntohs(address.sin_port);
  }
  close(handle);
  return port;
}

std::string
Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (IsSame(name, aName)) {
      return value;
    }
  }
  return {};
}

void
Record::Line(const std::string& aText)
{
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.1f ", Now());
  const std::lock_guard lock(mMutex);
  mFile << time.data() << aText << "\n" << std::flush;
}

Connection::~Connection()
{
  close(mHandle);
}

bool
Connection::Fill()
{
  std::array<char, 16384> buf{};
  const auto n = recv(mHandle, buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  mBuffer.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

bool
Connection::ReadUntil(const std::string& aMark, std::string& aText)
{
  auto at = mBuffer.find(aMark);
  while (at == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    at = mBuffer.find(aMark);
  }
  aText = mBuffer.substr(0, at + aMark.size());
  mBuffer.erase(0, at + aMark.size());
  return true;
}

bool
Connection::ReadBytes(std::size_t aCount, std::string& aText)
{
  while (mBuffer.size() < aCount) {
    if (!Fill()) {
      return false;
    }
  }
  aText = mBuffer.substr(0, aCount);
  mBuffer.erase(0, aCount);
  return true;
}

bool
Connection::Write(const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const auto n =
      send(mHandle, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void
Connection::Shutdown()
{
  shutdown(mHandle, SHUT_RDWR);
}

void
Connection::SetTimeout(double aMs)
{
  timeval time{};
  time.tv_sec = static_cast<time_t>(aMs / 1000);
  time.tv_usec = static_cast<suseconds_t>(std::fmod(aMs, 1000) * 1000);
  setsockopt(mHandle, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

std::unique_ptr<Connection>
Connect(const std::string& aHost, std::uint16_t aPort, double aTimeoutMs)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto connection = std::make_unique<Connection>(handle);
  timeval time{};
  time.tv_sec = static_cast<time_t>(aTimeoutMs / 1000);
  time.tv_usec = static_cast<suseconds_t>(std::fmod(aTimeoutMs, 1000) * 1000);
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  const auto address = ToAddress(aHost, aPort);
  if (connect(handle,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  return connection;
}

bool
ReadRequest(Connection& aConnection, Request& aRequest)
{
  std::string line;
  if (!ReadHead(aConnection, line, aRequest.mHeaders)) {
    return false;
  }
  const auto first = line.find(' ');
  const auto second = line.find(' ', first + 1);
  aRequest.mMethod = line.substr(0, first);
  aRequest.mTarget = line.substr(first + 1, second - first - 1);
  return ReadBody(aConnection, aRequest.mHeaders, aRequest.mBody);
}

Answer
ReadAnswer(Connection& aConnection)
{
  Answer answer;
  std::string line;
  if (!ReadHead(aConnection, line, answer.mHeaders) ||
      !ReadBody(aConnection, answer.mHeaders, answer.mBody)) {
    return {};
  }
  answer.mStatus = std::stoi(line.substr(line.find(' ') + 1));
  return answer;
}

std::string
ToText(const Answer& aAnswer)
{
  auto text = "HTTP/1.1 " + std::to_string(aAnswer.mStatus) + " -\r\n";
  for (const auto& [name, value] : aAnswer.mHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aAnswer.mBody.size()) +
         "\r\n\r\n" + aAnswer.mBody;
}

std::string
ToText(const Request& aRequest)
{
  auto text = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.mHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aRequest.mBody.size()) +
         "\r\n\r\n" + aRequest.mBody;
}

Listener::Listener(std::string aHost, std::uint16_t aPort, Handler aHandler)
  : mHost(std::move(aHost))
  , mPort(aPort)
  , mHandler(std::move(aHandler))
{
}

Listener::~Listener()
{
  Stop();
}

void
Listener::Start()
{
  mHandle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mHandle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = ToAddress(mHost, mPort);
  if (bind(mHandle,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(mHandle, SOMAXCONN) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  mIsStopped = false;
  mThread = std::thread([this, handle = mHandle] { Accept(handle); });
}

void
Listener::Stop()
{
  if (mIsStopped.exchange(true)) {
    return;
  }
  shutdown(mHandle, SHUT_RDWR);
  mThread.join();
  close(mHandle);
  std::unique_lock lock(mMutex);
  for (const auto& it : mConnections) {
    if (const auto connection = it.lock()) {
      connection->Shutdown();
    }
  }
  mIdle.wait(lock, [this] { return mSessions == 0; });
  mConnections.clear();
}

void
Listener::Accept(int aHandle)
{
  while (!mIsStopped) {
    const int handle = accept4(aHandle, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle < 0) {
      if (mIsStopped || errno == EINVAL) {
        return;
      }
      continue;
    }
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(handle);
    const std::lock_guard lock(mMutex);
    ++mSessions;
    mConnections.push_back(connection);
    std::thread([this, connection, generation = mGeneration.load()] {
      Serve(connection, generation);
    }).detach();
  }
}

void
Listener::Silence()
{
  ++mGeneration;
}

void
Listener::Serve(const std::shared_ptr<Connection>& aConnection,
                std::uint64_t aGeneration)
{
  Request request;
  while (!mIsStopped && ReadRequest(*aConnection, request)) {
    const auto answer = mHandler(request);
    if (aGeneration != mGeneration) {
      continue;
    }
    if (!answer || mIsStopped || !aConnection->Write(ToText(*answer))) {
      break;
    }
  }
  aConnection->Shutdown();
  const std::lock_guard lock(mMutex);
  --mSessions;
  mIdle.notify_all();
}

Table::Table(std::string aHost)
  : mHost(std::move(aHost))
{
}

std::string
Table::AddDoor()
{
  const auto port = FreePort(mHost);
  const auto door = mHost + ":" + std::to_string(port);
  mIsTurnedAway[door] = false;
  auto& listener = mDoors[door];
  listener = std::make_unique<Listener>(
    mHost, port, [this, door](const Request& aRequest) {
      return Handle(door, aRequest);
    });
  listener->Start();
  return door;
}

void
Table::TurnAway(const std::string& aDoor, bool aIsTurnedAway)
{
  const std::lock_guard lock(mMutex);
  mIsTurnedAway[aDoor] = aIsTurnedAway;
  mChanged.notify_all();
}

void
Table::Put(const std::string& aTable,
           const std::string& aKey,
           const Json& aValue)
{
  const std::lock_guard lock(mMutex);
  mRows[{ aTable, aKey }] = { aValue.dump(), ++mVersion, false };
  mChanged.notify_all();
}

void
Table::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mRows[{ aTable, aKey }] = { {}, ++mVersion, true };
  mChanged.notify_all();
}

Json
Table::Head() const
{
  return { { "ver", mVersion },
           { "now_ms", static_cast<std::uint64_t>(Now()) },
           { "rows", Json::array() } };
}

Json
Table::RowOf(const std::string& aTable,
             const std::string& aKey,
             const Row& aRow) const
{
  Json row{ { "table", aTable },
            { "part", "" },
            { "key", aKey },
            { "ver", aRow.mVersion } };
  if (aRow.mRemoved) {
    row["removed"] = true;
  } else {
    row["value"] = ToBase64(aRow.mValue);
  }
  return row;
}

Answer
Table::Get(const Query& aQuery)
{
  const std::lock_guard lock(mMutex);
  const auto at = [&](const char* aName) {
    const auto it = aQuery.find(aName);
    return it == aQuery.end() ? std::string() : it->second;
  };
  const auto limit =
    at("limit").empty() ? std::size_t(500) : std::stoul(at("limit"));
  auto body = Head();
  body["has_more"] = false;
  for (const auto& [key, row] : mRows) {
    if (key.first != at("table") || row.mRemoved || key.second < at("from") ||
        (!at("target").empty() && key.second >= at("target"))) {
      continue;
    }
    if (body["rows"].size() == limit) {
      body["has_more"] = true;
      break;
    }
    body["rows"].push_back(RowOf(key.first, key.second, row));
  }
  return JsonAnswer(200, body);
}

Answer
Table::Feed(const Query& aQuery)
{
  const auto table = aQuery.at("table");
  const auto after = std::stoull(aQuery.at("after"));
  const auto wait = std::chrono::milliseconds(std::stoul(aQuery.at("wait_ms")));
  std::unique_lock lock(mMutex);
  const auto find = [&] {
    std::map<std::uint64_t, Json> changes;
    for (const auto& [key, row] : mRows) {
      if (key.first == table && row.mVersion > after) {
        changes[row.mVersion] = RowOf(key.first, key.second, row);
      }
    }
    return changes;
  };
  (void)mChanged.wait_for(lock, wait, [&] { return !find().empty(); });
  auto body = Head();
  for (auto& [version, row] : find()) {
    body["rows"].push_back(std::move(row));
  }
  return JsonAnswer(200, body);
}

Answer
Table::Commit(const std::string& aBody)
{
  const auto body = Json::parse(aBody);
  const std::lock_guard lock(mMutex);
  const auto keyOf = [](const Json& aRow) {
    return std::pair(aRow["table"].get<std::string>(),
                     aRow["key"].get<std::string>());
  };
  bool holds = true;
  auto current = Head();
  for (const auto& it : body["expected"]) {
    const auto row = mRows.find(keyOf(it));
    const bool exists = row != mRows.end() && !row->second.mRemoved;
    holds = holds && it["ver"] == (exists ? row->second.mVersion : 0);
    if (exists) {
      current["rows"].push_back(
        RowOf(row->first.first, row->first.second, row->second));
    }
  }
  if (!holds) {
    return JsonAnswer(412, current);
  }
  ++mVersion;
  for (const auto& it : body["put"]) {
    mRows[keyOf(it)] = { FromBase64(it["value"]), mVersion, false };
  }
  for (const auto& it : body["remove"]) {
    mRows[keyOf(it)] = { {}, mVersion, true };
  }
  mChanged.notify_all();
  return JsonAnswer(200, Head());
}

Answer
Table::Handle(const std::string& aDoor, const Request& aRequest)
{
  const auto isTurnedAway = [&] {
    const std::lock_guard lock(mMutex);
    return mIsTurnedAway[aDoor];
  };
  if (isTurnedAway()) {
    return JsonAnswer(503, Json::object());
  }
  const auto mark = aRequest.mTarget.find('?');
  const auto path = aRequest.mTarget.substr(0, mark);
  Query query;
  auto rest = mark == std::string::npos ? std::string()
                                        : aRequest.mTarget.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
    rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
  }
  if (path == "/rows-get") {
    return Get(query);
  }
  if (path == "/rows-feed") {
    return Feed(query);
  }
  if (path == "/rows-tx") {
    return Commit(aRequest.mBody);
  }
  return JsonAnswer(404, Json::object());
}

Daemon::Daemon(std::string aName,
               std::string aHost,
               std::string aDoor,
               const std::string& aZone)
  : mName(std::move(aName))
  , mHost(std::move(aHost))
  , mDoor(std::move(aDoor))
  , mFolder(std::getenv("SITE_FOLDER"))
  , mCallers(FreePort(mHost))
  , mReadiness(FreePort(mHost))
{
  // As platform/settings.ini.in, with the figures of a small deployment.
  std::ofstream settings(mFolder + "/" + mName + ".ini");
  settings << "[daemon]\nname = " << mName << "\nzone = " << aZone
           << "\nlink_mbps = 1000\nmemory_mb = 110\n"
           << "[listen]\ncallers = " << mHost << ":" << mCallers
           << "\nreadiness = " << mHost << ":" << mReadiness
           << "\npeers = " << mHost << ":" << FreePort(mHost)
           << "\nbulk_port = " << FreePort(mHost) << "\nmetrics = " << mHost
           << ":" << FreePort(mHost) << "\n[store]\naddress = " << mDoor
           << "\n[config]\nwithin = 2000ms\n[stop]\ntime = 8s\n"
           << "[retries]\nratio = 0.2\nslack = 58\nwindow = 10s\n"
           << "[weights]\norder_gap = 3000ms\nwithin = 12000ms\n";
}

Daemon::~Daemon()
{
  if (mProcess > 0) {
    kill(mProcess, SIGKILL);
    waitpid(mProcess, nullptr, 0);
  }
}

void
Daemon::Start()
{
  const auto settings = mFolder + "/" + mName + ".ini";
  const auto log = mFolder + "/" + mName + ".log";
  mProcess = fork();
  if (mProcess != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  setenv("BILBERRYTRAIL_CONFIG", settings.c_str(), 1);
  execl("target/bilberryd", "target/bilberryd", "--entry", nullptr);
  _exit(127);
}

void
Daemon::Signal(int aSignal) const
{
  kill(mProcess, aSignal);
}

bool
Daemon::IsRunning()
{
  if (mProcess > 0 && waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
    mProcess = -1;
  }
  return mProcess > 0;
}

bool
Daemon::AwaitReady(double aTimeoutMs)
{
  const auto end = Now() + aTimeoutMs;
  while (Now() < end) {
    if (const auto connection = Connect(mHost, mReadiness, 500)) {
      connection->SetTimeout(500);
      (void)connection->Write("GET /ready HTTP/1.1\r\nHost: site\r\n\r\n");
      if (ReadAnswer(*connection).mStatus == 200) {
        return true;
      }
    }
    SleepMs(100);
  }
  return false;
}

std::unique_ptr<Connection>
Daemon::Call() const
{
  return Connect(mHost, mCallers, 1000);
}

Json
RouteJson(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aType,
          const std::string& aService)
{
  return { { "name", aName },      { "host", "h.example" },
           { "prefix", aPrefix },  { "route_type", aType },
           { "timeout_ms", 5000 }, { "target_latency_ms", 1000 },
           { "priority", 1 },      { "service", aService },
           { "max_attempts", 1 },  { "anonymous", false } };
}

} // namespace site
