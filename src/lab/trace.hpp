// Traces: what a stand-in of the lab sent and received, written as it happens and read back by the checker.
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
  // An empty path writes nothing.
  explicit TraceWriter(const std::string& path);
  bool is_open() const { return out_.is_open(); }
  void write(const v1::Record& record);
  void flush() { out_.flush(); }

 private:
  std::ofstream out_;
  double flushed_ = 0;  // at the latest a quarter of a second after a write, if another follows
};

// Reads a trace while it is being written.
class TraceTail {
 public:
  explicit TraceTail(std::string path) : path_(std::move(path)) {}
  // The whole records that have come since; throws as read_trace does.
  std::vector<v1::Record> read_new();

 private:
  std::string path_;
  std::uint64_t at_ = 0;
  std::string rest_;
};

// Reads a whole trace; throws std::runtime_error naming the file and the place if it is broken, but for a
// last record that is cut: a process may have been killed while it wrote.
std::vector<v1::Record> read_trace(const std::string& path);

// Writes frames as a pcap file (LINKTYPE_IPV4, TCP segments made up from the connections' ports), for
// decoders of others. Each Diameter frame is one segment. Returns how many there are.
std::size_t write_pcap(const std::vector<v1::Record>& records, const std::string& path);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_TRACE_HPP_
