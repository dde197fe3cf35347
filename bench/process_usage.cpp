#include "process_usage.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace bilberrytrail::bench {

namespace {

struct Transferred
{
  std::uint64_t mSent = 0;
  std::uint64_t mReceived = 0;
};

// Returns the inode numbers of the sockets that the process has open.
std::set<std::uint64_t>
SocketsOf(int aPid)
{
  constexpr std::string_view kPrefix = "socket:[";
  std::set<std::uint64_t> inodes;
  std::error_code ec;
  const std::string folder = "/proc/" + std::to_string(aPid) + "/fd";
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    const auto link = std::filesystem::read_symlink(it.path(), ec).string();
    if (link.starts_with(kPrefix)) {
      inodes.insert(std::strtoull(link.c_str() + kPrefix.size(), nullptr, 10));
    }
  }
  return inodes;
}

void
TakeAttributes(const nlmsghdr& aHeader,
               std::map<std::uint64_t, Transferred>& aFound)
{
  const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(&aHeader));
  auto left =
    static_cast<int>(aHeader.nlmsg_len - NLMSG_LENGTH(sizeof *message));
  // The macros of the interface take a non-const pointer.
  auto* attribute =
    reinterpret_cast<rtattr*>(const_cast<inet_diag_msg*>(message + 1));
  for (; RTA_OK(attribute, left); attribute = RTA_NEXT(attribute, left)) {
    if (attribute->rta_type != INET_DIAG_INFO) {
      continue;
    }
    tcp_info info{};
    std::memcpy(&info,
                RTA_DATA(attribute),
                std::min<std::size_t>(sizeof info, RTA_PAYLOAD(attribute)));
    aFound[message->idiag_inode] = { info.tcpi_bytes_acked,
                                     info.tcpi_bytes_received };
  }
}

// Returns the bytes of all TCP connections by inode number.
std::map<std::uint64_t, Transferred>
ReadConnections()
{
  struct
  {
    nlmsghdr mHeader;
    inet_diag_req_v2 mRequest;
  } query{};
  query.mHeader.nlmsg_len = sizeof query;
  query.mHeader.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.mHeader.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  query.mRequest.sdiag_family = AF_INET;
  query.mRequest.sdiag_protocol = IPPROTO_TCP;
  query.mRequest.idiag_ext = 1U << (INET_DIAG_INFO - 1U);
  query.mRequest.idiag_states = ~0U;
  std::map<std::uint64_t, Transferred> found;
  const int handle = ::socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG);
  if (handle < 0 || ::send(handle, &query, sizeof query, 0) < 0) {
    return found;
  }
  alignas(nlmsghdr) char buf[65536];
  bool isMore = true;
  while (isMore) {
    const auto n = ::recv(handle, buf, sizeof buf, 0);
    auto left = static_cast<unsigned>(std::max<ssize_t>(n, 0));
    auto* header = reinterpret_cast<nlmsghdr*>(buf);
    isMore = n > 0;
    for (; NLMSG_OK(header, left); header = NLMSG_NEXT(header, left)) {
      if (header->nlmsg_type == NLMSG_DONE ||
          header->nlmsg_type == NLMSG_ERROR) {
        isMore = false;
        break;
      }
      TakeAttributes(*header, found);
    }
  }
  ::close(handle);
  return found;
}

// Returns how often the threads of the process gave up the processor to wait.
double
WakeUpsOf(int aPid)
{
  constexpr std::string_view kField = "voluntary_ctxt_switches:";
  double n = 0;
  std::error_code ec;
  const std::string folder = "/proc/" + std::to_string(aPid) + "/task";
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    std::ifstream file(it.path() / "status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(kField)) {
        n += std::strtod(line.c_str() + kField.size(), nullptr);
      }
    }
  }
  return n;
}

} // namespace

ProcessUsage
ReadUsage(int aPid)
{
  constexpr int kUserTimeField = 14;
  std::ifstream file("/proc/" + std::to_string(aPid) + "/stat");
  std::string text;
  std::getline(file, text);
  // The second field is a name in parentheses that may hold spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string field;
  for (int n = 3; n < kUserTimeField; ++n) {
    fields >> field;
  }
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  fields >> user >> system;
  const auto ticks = static_cast<double>(::sysconf(_SC_CLK_TCK));
  ProcessUsage usage;
  usage.mProcessor =
    FromMillis(static_cast<double>(user + system) * 1000 / ticks);
  std::ifstream memory("/proc/" + std::to_string(aPid) + "/statm");
  double total = 0;
  double resident = 0;
  memory >> total >> resident;
  usage.mResidentBytes =
    resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
  usage.mWakeUps = WakeUpsOf(aPid);
  return usage;
}

double
TcpByteCounter::SentBytes() const
{
  double n = 0;
  for (const auto& [inode, it] : mConnections) {
    n += static_cast<double>(it.mSent - it.mSentBefore);
  }
  return n;
}

double
TcpByteCounter::ReceivedBytes() const
{
  double n = 0;
  for (const auto& [inode, it] : mConnections) {
    n += static_cast<double>(it.mReceived - it.mReceivedBefore);
  }
  return n;
}

void
TcpByteCounter::Sample()
{
  const auto owned = SocketsOf(mPid);
  for (const auto& [inode, bytes] : ReadConnections()) {
    if (!owned.contains(inode)) {
      continue;
    }
    auto [it, isNew] = mConnections.try_emplace(inode);
    if (isNew && !mHasSample) {
      it->second.mSentBefore = bytes.mSent;
      it->second.mReceivedBefore = bytes.mReceived;
    }
    it->second.mSent = bytes.mSent;
    it->second.mReceived = bytes.mReceived;
  }
  mHasSample = true;
}

} // namespace bilberrytrail::bench
