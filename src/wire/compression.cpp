#include "wire/compression.h"

#include <zlib.h>

#include <array>
#include <stdexcept>

namespace cairnhollow::wire {

namespace {

/// The fastest of zlib's levels; repeated names and numbers compress about as well at every level.
constexpr int kLevel = Z_BEST_SPEED;
constexpr std::size_t kChunkBytes = std::size_t{16} << 10;

/// Releases the zlib stream on destruction.
class Inflater {
 public:
  Inflater() {
    if (inflateInit(&stream_) != Z_OK) throw std::bad_alloc();
  }
  ~Inflater() { inflateEnd(&stream_); }
  Inflater(const Inflater&) = delete;
  Inflater& operator=(const Inflater&) = delete;
  z_stream& stream() { return stream_; }

 private:
  z_stream stream_{};
};

}  // namespace

std::string compress(const std::string& bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  const int status = compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                               reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kLevel);
  if (status != Z_OK) throw std::bad_alloc();  // the only possible failure, as the buffer is large enough
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> decompress(const std::string& bytes, Reason& reason) {
  Inflater inflater;
  z_stream& stream = inflater.stream();
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string whole;
  std::array<char, kChunkBytes> chunk{};
  int status = Z_OK;
  while (status == Z_OK && whole.size() <= kMaxDecompressedBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    status = inflate(&stream, Z_NO_FLUSH);
    whole.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  const bool is_whole = status == Z_STREAM_END && stream.avail_in == 0;
  if (is_whole && whole.size() <= kMaxDecompressedBytes) return whole;
  reason =
      Reason{ReasonCode::kCorrupt, "decompress", "", "compressed message is truncated, invalid or too large"};
  return std::nullopt;
}

}  // namespace cairnhollow::wire
