#pragma once

// A small site on loopback for the scripts of this review: the platform's
// table service, backend servers, daemons as processes of their own, and
// callers. Plain sockets and threads on the real clock.

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace site {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Milliseconds on the steady clock since the program began.
[[nodiscard]] double
Now();
void
SleepMs(double aMs);
// Returns a free port on a loopback address.
[[nodiscard]] std::uint16_t
FreePort(const std::string& aHost);
// Returns the value of a header, ignoring case; empty if it is not there.
[[nodiscard]] std::string
Find(const Headers& aHeaders, const std::string& aName);

// Writes what was sent, answered and run to record.txt.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

// A connection with the bytes that were received and not parsed yet.
class Connection
{
public:
  explicit Connection(int aHandle)
    : mHandle(aHandle)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Reads up to and including the mark; false at the end of the connection.
  bool ReadUntil(const std::string& aMark, std::string& aText);
  bool ReadBytes(std::size_t aCount, std::string& aText);
  bool Write(const std::string& aText);
  void Shutdown();
  void SetTimeout(double aMs);

private:
  bool Fill();

  const int mHandle;
  std::string mBuffer;
};

// Returns null when no connection was opened in time.
[[nodiscard]] std::unique_ptr<Connection>
Connect(const std::string& aHost, std::uint16_t aPort, double aTimeoutMs);

struct Request
{
  std::string mMethod;
  std::string mTarget;
  Headers mHeaders;
  std::string mBody;
};

struct Answer
{
  // 0 when the connection ended without a complete answer.
  int mStatus = 0;
  Headers mHeaders;
  std::string mBody;
};

bool
ReadRequest(Connection& aConnection, Request& aRequest);
[[nodiscard]] Answer
ReadAnswer(Connection& aConnection);
[[nodiscard]] std::string
ToText(const Answer& aAnswer);
[[nodiscard]] std::string
ToText(const Request& aRequest);

// Serves HTTP/1.1 on one address, one thread for each connection. Stop resets
// all connections and closes the port, as the end of a process does; Start
// opens the same port again.
class Listener
{
public:
  // Returns the answer; nothing to close the connection.
  using Handler = std::function<std::optional<Answer>(const Request&)>;

  Listener(std::string aHost, std::uint16_t aPort, Handler aHandler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Start();
  void Stop();
  // From now on nothing more comes on the connections that are open; new ones
  // work.
  void Silence();

private:
  void Accept(int aHandle);
  void Serve(const std::shared_ptr<Connection>& aConnection,
             std::uint64_t aGeneration);

  const std::string mHost;
  const std::uint16_t mPort;
  const Handler mHandler;
  std::mutex mMutex;
  std::condition_variable mIdle;
  std::size_t mSessions = 0;
  std::vector<std::weak_ptr<Connection>> mConnections;
  int mHandle = -1;
  std::thread mThread;
  std::atomic<bool> mIsStopped = true;
  std::atomic<std::uint64_t> mGeneration = 0;
};

// The platform's table service.
class Table
{
public:
  explicit Table(std::string aHost);

  // Returns the address of another way to the service. Each daemon gets one of
  // its own, so that it can be turned away.
  std::string AddDoor();
  // Answers 503 to all calls that come on this way, or no longer.
  void TurnAway(const std::string& aDoor, bool aIsTurnedAway);
  // Lets the connections that are open on this way go silent.
  void Silence(const std::string& aDoor) { mDoors.at(aDoor)->Silence(); }
  void Put(const std::string& aTable,
           const std::string& aKey,
           const Json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mRemoved = false;
  };
  using Query = std::map<std::string, std::string>;

  Answer Handle(const std::string& aDoor, const Request& aRequest);
  Json Head() const;
  Json RowOf(const std::string& aTable,
             const std::string& aKey,
             const Row& aRow) const;
  Answer Get(const Query& aQuery);
  Answer Feed(const Query& aQuery);
  Answer Commit(const std::string& aBody);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::pair<std::string, std::string>, Row> mRows;
  std::uint64_t mVersion = 1;
  const std::string mHost;
  std::map<std::string, bool> mIsTurnedAway;
  std::map<std::string, std::unique_ptr<Listener>> mDoors;
};

// A process of the project's daemon, started with the command of the deploy
// file.
class Daemon
{
public:
  Daemon(std::string aName,
         std::string aHost,
         std::string aDoor,
         const std::string& aZone);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  void Signal(int aSignal) const;
  [[nodiscard]] bool IsRunning();
  [[nodiscard]] bool AwaitReady(double aTimeoutMs);
  [[nodiscard]] std::unique_ptr<Connection> Call() const;
  [[nodiscard]] const std::string& Name() const { return mName; }
  // Its way to the table service.
  [[nodiscard]] const std::string& Door() const { return mDoor; }

private:
  const std::string mName;
  const std::string mHost;
  const std::string mDoor;
  const std::string mFolder;
  std::uint16_t mCallers;
  std::uint16_t mReadiness;
  pid_t mProcess = -1;
};

// Returns a route of the configuration.
[[nodiscard]] Json
RouteJson(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aType,
          const std::string& aService);

} // namespace site
