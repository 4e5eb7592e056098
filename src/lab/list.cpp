// Stand-in of the server list: Server-Sent Events over HTTP/1.1. Publishes the changes of the scenario's
// script with the scenario's delay.
#include <http_parser.h>

#include <csignal>
#include <map>
#include <memory>
#include <vector>

#include "lab/stand_ins.hpp"
#include "lab/traced_connection.hpp"
#include "list/server_list.hpp"

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
    for (const Event& event : scenario.events) schedule(scenario, run, event);
    listen();
    send_keepalives();
  }

 private:
  struct Subscriber {
    std::shared_ptr<net::Stream> stream;
    std::string proxy;
    std::string request;
    bool subscribed = false;  // its request has arrived in full
  };

  void schedule(const Scenario& scenario, const RunFile& run, const Event& event) {
    const double published_at = run.epoch + event.at_s + scenario.list_delay_s;
    const double restored_at = published_at + event.duration_s;
    const double restarted_wall = run.epoch_wall + event.at_s + event.duration_s;
    const auto change = [this, target = event.target](ServerEntry::State state, double started_at) {
      mintrock::list::Entry& entry = entries_[target];
      entry.state = state;
      if (started_at > 0) entry.started_at = started_at;
      publish(entry);
    };
    if (event.kind == Event::Kind::kCrash || event.kind == Event::Kind::kDrain) {
      const auto state =
          event.kind == Event::Kind::kCrash ? ServerEntry::State::kGone : ServerEntry::State::kDraining;
      loop_.timers().schedule(published_at, [change, state] { change(state, 0); });
      loop_.timers().schedule(
          restored_at, [change, restarted_wall] { change(ServerEntry::State::kReady, restarted_wall); });
    } else if (event.kind == Event::Kind::kListDown) {
      loop_.timers().schedule(run.epoch + event.at_s, [this] {
        listener_.reset();
        for (auto& [id, each] : subscribers_) each.stream->close();
        subscribers_.clear();
      });
      loop_.timers().schedule(run.epoch + event.at_s + event.duration_s, [this] { listen(); });
    }
  }

  void listen() {
    listener_ =
        std::make_unique<net::Listener>(loop_, net::Address{0x7F000001, port_},
                                        [this](int fd, net::Address from) { accept_subscriber(fd, from); });
  }

  void send_keepalives() {
    for (auto& [id, each] : subscribers_) {
      if (each.subscribed) each.stream->write(": here\n\n");
    }
    loop_.after(2.0, [this] { send_keepalives(); });
  }

  void accept_subscriber(int fd, net::Address from) {
    const std::uint64_t id = ++last_id_;
    Subscriber& each = subscribers_[id];
    each.stream = net::Stream::adopt(loop_, fd, from, 16 << 20);
    net::Stream::Handlers handlers;
    handlers.on_closed = [this, id](const std::string&) { subscribers_.erase(id); };
    handlers.on_bytes = [this, id](std::string_view bytes) {
      Subscriber& s = subscribers_.at(id);
      s.request.append(bytes);
      if (s.subscribed || s.request.find("\r\n\r\n") == std::string::npos) return;
      const std::size_t query = s.request.find("?proxy=");
      if (query != std::string::npos)
        s.proxy = s.request.substr(query + 7, s.request.find(' ', query) - query - 7);
      s.subscribed = true;
      s.stream->write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n");
      send_update(s, {revision_, true, entries_, {}});
    };
    each.stream->set_handlers(std::move(handlers));
  }

  void publish(const mintrock::list::Entry& entry) {
    revision_ += 1;
    for (auto& [id, each] : subscribers_) {
      if (each.subscribed) send_update(each, {revision_, false, {entry}, {}});
    }
  }

  void send_update(Subscriber& to, const mintrock::list::Update& update) {
    const std::string json = mintrock::list::print_update(update);
    v1::Record record;
    record.set_time(loop_.now());
    record.set_kind(v1::Record::LIST);
    record.set_who("list");
    record.set_with(to.proxy);
    record.set_outgoing(true);
    record.set_text(json);
    trace_.write(record);
    trace_.flush();  // updates are rare, and one traced late would look like a violated drain
    to.stream->write("id: " + std::to_string(update.revision) + "\nevent: list\ndata: " + json + "\n\n");
  }

  net::Loop& loop_;
  TraceWriter& trace_;
  std::uint16_t port_;
  std::vector<mintrock::list::Entry> entries_;
  std::uint64_t revision_ = 1;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, Subscriber> subscribers_;
  std::uint64_t last_id_ = 0;
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
