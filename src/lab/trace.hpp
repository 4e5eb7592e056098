// Traces record what a simulated process of the lab sends and receives, for the checker to read back.
#ifndef MINTROCK_SRC_LAB_TRACE_HPP_
#define MINTROCK_SRC_LAB_TRACE_HPP_

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trace.pb.h"

namespace mintrock::lab {

class TraceWriter {
 public:
  // With an empty path, nothing is written.
  explicit TraceWriter(const std::string& path);
  bool is_open() const { return out_.is_open(); }
  void write(const v1::Record& record);
  void flush() { out_.flush(); }

 private:
  std::ofstream out_;
  double last_flush_ = 0;  // time of the record at the last flush
};

// Reads a trace while it is being written.
class TraceTail {
 public:
  explicit TraceTail(std::string path) : path_(std::move(path)) {}
  // Returns the complete records written since the last call; throws as read_trace does.
  std::vector<v1::Record> read_new();

 private:
  std::string path_;
  std::uint64_t offset_ = 0;
  std::string partial_record_;
};

// Reads a whole trace; throws std::runtime_error with the file and the position if it is corrupt. A truncated
// last record is ignored: the process may have been killed while writing it.
std::vector<v1::Record> read_trace(const std::string& path);

// Writes the frames as a pcap file for independent decoders (LINKTYPE_IPV4; the TCP segments are synthesized
// from the connections' ports). Each Diameter frame is one segment. Returns the number of frames.
std::size_t write_pcap(const std::vector<v1::Record>& records, const std::string& path);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_TRACE_HPP_
