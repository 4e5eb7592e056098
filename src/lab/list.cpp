// The pool list as a stand-in: Server-Sent Events over HTTP/1.1, news a stated time late, by the script.
#include <http_parser.h>

#include <csignal>
#include <map>
#include <memory>
#include <vector>

#include "lab/stand_ins.hpp"
#include "lab/traced_connection.hpp"
#include "list/pool_list.hpp"

namespace mintrock::lab {
namespace {

class ListServer {
 public:
  ListServer(net::Loop& loop, const Scenario& scenario, const RunFile& run, TraceWriter& trace)
      : loop_(loop), trace_(trace), port_(run.list_port) {
    for (std::uint32_t i = 0; i < scenario.cores; ++i) {
      mintrock::list::Entry entry;
      entry.identity = core_name(i);
      entry.address = net::Address{0x7F000001, run.core_ports[i]}.str();
      entry.node = i;
      entries_.push_back(entry);
    }
    for (const Event& event : scenario.events) script(scenario, run, event);
    listen();
    beat();
  }

 private:
  struct Subscriber {
    std::shared_ptr<net::Stream> stream;
    std::string proxy;
    std::string request;
    bool open = false;
  };

  void script(const Scenario& scenario, const RunFile& run, const Event& event) {
    const double told = run.epoch + event.at_s + scenario.list_delay_s;
    const double back = told + event.duration_s;
    const double started = run.epoch_wall + event.at_s + event.duration_s;
    const auto change = [this, target = event.target](ServerEntry::State state, double started_at) {
      mintrock::list::Entry& entry = entries_[target];
      entry.state = state;
      if (started_at > 0) entry.started_at = started_at;
      publish(entry);
    };
    if (event.kind == Event::Kind::kCrash || event.kind == Event::Kind::kDrain) {
      const auto state =
          event.kind == Event::Kind::kCrash ? ServerEntry::State::kGone : ServerEntry::State::kDraining;
      loop_.timers().at(told, [change, state] { change(state, 0); });
      loop_.timers().at(back, [change, started] { change(ServerEntry::State::kReady, started); });
    } else if (event.kind == Event::Kind::kListDown) {
      loop_.timers().at(run.epoch + event.at_s, [this] {
        listener_.reset();
        for (auto& [id, each] : subscribers_) each.stream->close();
        subscribers_.clear();
      });
      loop_.timers().at(run.epoch + event.at_s + event.duration_s, [this] { listen(); });
    }
  }

  void listen() {
    listener_ = std::make_unique<net::Listener>(loop_, net::Address{0x7F000001, port_},
                                                [this](int fd, net::Address from) { accepted(fd, from); });
  }

  void beat() {
    for (auto& [id, each] : subscribers_) {
      if (each.open) each.stream->write(": here\n\n");
    }
    loop_.after(2.0, [this] { beat(); });
  }

  void accepted(int fd, net::Address from) {
    const std::uint64_t id = ++last_;
    Subscriber& each = subscribers_[id];
    each.stream = net::Stream::adopt(loop_, fd, from, 16 << 20);
    net::Stream::Handlers handlers;
    handlers.on_closed = [this, id](const std::string&) { subscribers_.erase(id); };
    handlers.on_bytes = [this, id](std::string_view bytes) {
      Subscriber& s = subscribers_.at(id);
      s.request.append(bytes);
      if (s.open || s.request.find("\r\n\r\n") == std::string::npos) return;
      const std::size_t at = s.request.find("?proxy=");
      if (at != std::string::npos) s.proxy = s.request.substr(at + 7, s.request.find(' ', at) - at - 7);
      s.open = true;
      s.stream->write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n");
      tell(s, {revision_, true, entries_, {}});
    };
    each.stream->set(std::move(handlers));
  }

  void publish(const mintrock::list::Entry& entry) {
    revision_ += 1;
    for (auto& [id, each] : subscribers_) {
      if (each.open) tell(each, {revision_, false, {entry}, {}});
    }
  }

  void tell(Subscriber& to, const mintrock::list::News& news) {
    const std::string json = mintrock::list::print_news(news);
    v1::Record record;
    record.set_time(loop_.now());
    record.set_kind(v1::Record::LIST);
    record.set_who("list");
    record.set_with(to.proxy);
    record.set_outgoing(true);
    record.set_text(json);
    trace_.write(record);
    trace_.flush();  // rare, and told late it would look like a drain that was not kept
    to.stream->write("id: " + std::to_string(news.revision) + "\nevent: list\ndata: " + json + "\n\n");
  }

  net::Loop& loop_;
  TraceWriter& trace_;
  std::uint16_t port_;
  std::vector<mintrock::list::Entry> entries_;
  std::uint64_t revision_ = 1;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, Subscriber> subscribers_;
  std::uint64_t last_ = 0;
};

}  // namespace

int run_list_server(const Scenario& scenario, const std::string& dir) {
  const RunFile run = load_run_file(dir);
  net::Loop loop;
  TraceWriter trace(dir + "/list.trace");
  ListServer server(loop, scenario, run, trace);
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  trace.flush();
  return 0;
}

}  // namespace mintrock::lab
