#include <bilberrytrail/runtime/deflate.h>

#include <boost/beast/zlib.hpp>

#include <cstdint>

namespace bilberrytrail {

namespace {

namespace zlib = boost::beast::zlib;

constexpr int kFastLevel = 1;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kSizeBytes = 4;
constexpr unsigned kBitsInByte = 8;
// Room for the ends of the blocks.
constexpr std::size_t kEndBytes = 64;
// The end of the empty block.
constexpr std::string_view kEmptyBlock("\0\0\xff\xff", 4);

std::string
WriteSize(std::size_t aSize)
{
  std::string bytes;
  for (std::size_t n = kSizeBytes; n > 0; --n) {
    bytes += static_cast<char>(aSize >> (kBitsInByte * (n - 1)));
  }
  return bytes;
}

std::size_t
ReadSize(std::string_view aBytes)
{
  std::size_t size = 0;
  for (const char it : aBytes.substr(0, kSizeBytes)) {
    size = (size << kBitsInByte) | static_cast<std::uint8_t>(it);
  }
  return size;
}

} // namespace

std::string
Deflate(std::string_view aBytes)
{
  zlib::deflate_stream stream;
  stream.reset(kFastLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  auto bytes = WriteSize(aBytes.size());
  zlib::z_params params{};
  params.next_in = aBytes.data();
  params.avail_in = aBytes.size();
  // The end is reached once the output is not filled.
  while (params.avail_out == 0) {
    const auto begin = kSizeBytes + params.total_out;
    bytes.resize(begin + stream.upper_bound(aBytes.size()) + kEndBytes);
    params.next_out = bytes.data() + begin;
    params.avail_out = bytes.size() - begin;
    boost::beast::error_code ec;
    stream.write(params, zlib::Flush::sync, ec);
  }
  bytes.resize(kSizeBytes + params.total_out);
  return bytes;
}

Result<std::string>
Inflate(std::string_view aBytes, std::size_t aMaxBytes)
{
  if (aBytes.size() < kSizeBytes || !aBytes.ends_with(kEmptyBlock)) {
    return Fail(ErrorCode::Corrupt, "compressed bytes are cut");
  }
  const auto size = ReadSize(aBytes);
  if (size > aMaxBytes) {
    return Fail(ErrorCode::TooLarge,
                "compressed bytes are " + std::to_string(size) +
                  ", more than " + std::to_string(aMaxBytes));
  }
  zlib::inflate_stream stream;
  stream.reset(kWindowBits);
  std::string restored(size, '\0');
  zlib::z_params params{};
  params.next_in = aBytes.data() + kSizeBytes;
  params.avail_in = aBytes.size() - kSizeBytes;
  params.next_out = restored.data();
  params.avail_out = restored.size();
  boost::beast::error_code ec;
  stream.write(params, zlib::Flush::sync, ec);
  if (ec || params.avail_in > 0 || params.total_out != size) {
    return Fail(ErrorCode::Corrupt,
                "compressed bytes are " + std::to_string(params.total_out) +
                  " instead of " + std::to_string(size) +
                  (ec ? ": " + ec.message() : std::string()));
  }
  return restored;
}

} // namespace bilberrytrail
