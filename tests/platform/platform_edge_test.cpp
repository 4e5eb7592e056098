// The whole route on loopback: a caller, a core server and an event bus, all stand-ins on one loop.
#include "platform/platform_edge.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "instance/hearsay.hpp"

namespace mintrock::platform {
namespace {

using nlohmann::json;

// A core server that answers each set-up by `reply`, and keeps what it was sent.
struct Core {
  explicit Core(net::Loop& loop)
      : listener(std::in_place, loop, net::Address{}, [this, &loop](int fd, net::Address from) {
          const auto stream = net::Stream::adopt(loop, fd, from, 1 << 20);
          streams.push_back(stream);
          cutters.emplace_back();
          const std::size_t place = streams.size() - 1;
          stream->set_handlers({{},
                                [this, place](std::string_view bytes) {
                                  cutters[place].feed(bytes);
                                  while (const auto line = cutters[place].next())
                                    take(place, std::string(*line));
                                },
                                [this, place](const std::string&) { streams[place].reset(); }});
        }) {}
  void take(std::size_t place, const std::string& line) {
    const json message = json::parse(line);
    got.push_back(message);
    if (message["type"] != "setup") return;
    if (reply) reply(place, message["id"].get<std::string>());
  }
  void say(std::size_t place, const std::string& line) {
    if (streams[place]) streams[place]->write(line + "\n");
  }
  void answer(std::size_t place, const std::string& id) {
    say(place, R"({"type":"answer","id":")" + id + R"(","fields":{},"sdp":"answer )" + id + "\"}");
  }
  void die() {
    listener.reset();
    for (const auto& stream : streams) {
      if (stream) stream->reset();
    }
    streams.clear();
  }
  std::size_t count(const char* type) const {
    std::size_t out = 0;
    for (const json& each : got) out += each["type"] == type;
    return out;
  }
  std::vector<std::shared_ptr<net::Stream>> streams;
  std::deque<LineCutter> cutters;
  std::vector<json> got;
  std::function<void(std::size_t, const std::string&)> reply =
      [this](std::size_t place, const std::string& id) { answer(place, id); };
  std::optional<net::Listener> listener;
};

struct Bus {
  explicit Bus(net::Loop& loop)
      : listener(loop, net::Address{}, [this, &loop](int fd, net::Address from) {
          const auto stream = net::Stream::adopt(loop, fd, from, 1 << 20);
          streams.push_back(stream);
          requests.emplace_back();
          const std::size_t place = streams.size() - 1;
          stream->set_handlers(
              {{},
               [this, place](std::string_view bytes) {
                 requests[place] += bytes;
                 if (requests[place].find("\r\n\r\n") == std::string::npos) return;
                 streams[place]->write(
                     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n");
               },
               {}});
        }) {}
  std::vector<std::shared_ptr<net::Stream>> streams;
  std::deque<std::string> requests;
  net::Listener listener;
};

struct Caller {
  Caller(net::Loop& loop, const net::Address& to) : Caller(net::Stream::connect(loop, to, 1 << 20)) {}
  explicit Caller(std::shared_ptr<net::Stream> over) : stream(std::move(over)) {
    stream->set_handlers({{},
                          [this](std::string_view bytes) {
                            cutter.feed(bytes);
                            while (const auto message = cutter.next()) {
                              got.push_back({message->type, message->call, read_cause(*message),
                                             std::string(message->find(Parameter::kDescription))});
                            }
                          },
                          [this](const std::string&) { closed = true; }});
  }
  void setup(std::uint64_t id, const char* service_class = "status", const char* left = "1500",
             const char* figures = "dest:0;width:1;via:-1", const char* description = "offer") {
    stream->write(setup_bytes(id, service_class, left, figures, description));
  }
  static std::string setup_bytes(std::uint64_t id, const char* service_class = "status",
                                 const char* left = "1500", const char* figures = "dest:0;width:1;via:-1",
                                 const char* description = "offer") {
    return write_message(CallerType::kSetup, id,
                         {{Parameter::kClass, service_class},
                          {Parameter::kLeft, left},
                          {Parameter::kNumber, "7f3a9c21e0b4d655"},
                          {Parameter::kFigures, figures},
                          {Parameter::kDescription, description}});
  }
  struct Got {
    int type;
    std::uint64_t call;
    int cause;
    std::string description;
  };
  std::size_t count(int type) const {
    std::size_t out = 0;
    for (const Got& each : got) out += each.type == type;
    return out;
  }
  std::size_t count_of(std::uint64_t call) const {
    std::size_t out = 0;
    for (const Got& each : got) out += each.call == call;
    return out;
  }
  MessageCutter cutter;
  std::vector<Got> got;
  bool closed = false;
  std::size_t asked = 0;  // set-ups, where a test counts them
  std::shared_ptr<net::Stream> stream;
};

struct Stage {
  explicit Stage(std::uint32_t sockets = 256, const std::function<void(json&, Stage&)>& adjust = {})
      : core(loop), second(loop), bus(loop), new_bus(loop) {
    const json host{{"host", "s-1"},  {"dial", core.listener->local().str()},
                    {"site", "east"}, {"class", "small"},
                    {"block", 0},     {"health", "SERVING"},
                    {"share", 1},     {"born_ms", 0}};
    config = {
        {"bus", bus.listener.local().str()},
        {"known",
         {{"offset", 1},
          {"batch", {{{"offset", 1}, {"topology", {{"seq", 0}, {"whole", true}, {"hosts", {host}}}}}}}}},
        {"limits", {{"cores", 1}, {"memory_mb", 32}, {"sockets", sockets}}},
        {"listen", "127.0.0.1:0"},
        {"name", "n0"},
        {"seed", "1"},
        {"settings",
         {{"classes",
           {{{"deadline_s", 3},
             {"effect", "repeatable"},
             {"goal_time_s", 1},
             {"name", "status"},
             {"value", 1}}}},
          {"domain", {{"clear_wait_s", 0.05}}},
          {"fleet_size", 1},
          {"limits",
           {{"connect_timeout_s", 0.5}, {"try_limit", 3}, {"retry_after", true}, {"max_retry_after_s", 2}}},
          {"load_info", {{"fields", {"spare", "total"}}}},
          {"rules", {{"fall_s", 1}, {"overload_factor", 3}, {"start_capacity", 0.5}, {"warm_up_s", 10}}},
          {"skus", {"small"}}}}};
    if (adjust) adjust(config, *this);
    file = "platform_edge_test." + std::to_string(getpid()) + ".json";
    write(config.dump());
    edge = std::make_unique<PlatformEdge>(loop, parse_config(config.dump()), file);
    edge->start();
  }
  ~Stage() { std::remove(file.c_str()); }
  void write(const std::string& text) const { std::ofstream(file, std::ios::trunc) << text; }
  // Runs the loop until `done`; a guard ends a test that would hang.
  template <typename Done>
  bool until(Done done, double most = 10) {
    const double end = loop.now() + most;
    std::function<void()> look = [&] {
      if (done() || loop.now() > end) return loop.stop();
      loop.after(0.002, look);
    };
    loop.after(0, look);
    loop.run();
    return done();
  }
  std::string event(std::uint64_t offset, const json& hosts, bool whole = false) const {
    return "id: " + std::to_string(offset) + "\ndata: " +
           json{{"offset", offset}, {"topology", {{"seq", offset}, {"whole", whole}, {"hosts", hosts}}}}
               .dump() +
           "\n\n";
  }
  net::Loop loop;
  std::vector<std::unique_ptr<net::DatagramSocket>> datagrams;
  Core core, second;
  Bus bus, new_bus;
  json config;
  std::string file;
  std::unique_ptr<PlatformEdge> edge;
};

TEST(PlatformEdge, ACallIsServedEndsAndIsForgotten) {
  Stage stage;
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(0x9b1f03aa5c7e2d41);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 1; }));
  EXPECT_EQ(caller.got[0].description, "answer 9b1f03aa5c7e2d41");
  const json& sent = stage.core.got.at(0);
  EXPECT_EQ(sent["fields"]["class"], "status");
  EXPECT_EQ(sent["fields"]["key"], "7f3a9c21e0b4d655");
  EXPECT_EQ(sent["sdp"], "offer");
  EXPECT_LE(std::stoi(sent["fields"]["left"].get<std::string>()), 1500);
  stage.core.say(0, R"({"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16})");
  ASSERT_TRUE(stage.until([&] { return caller.count(12) == 1; }));
  EXPECT_EQ(caller.got[1].cause, 16);
  EXPECT_EQ(stage.edge->calls(), 0u);
  EXPECT_EQ(stage.edge->desk().standing(), 0u);
}

TEST(PlatformEdge, ACallerThatReleasesEndsItAtTheCoreServer) {
  Stage stage;
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 1; }));
  caller.stream->write(write_release(7, 16));
  EXPECT_TRUE(stage.until([&] { return stage.core.count("release") == 1 && caller.count(16) == 1; }));
  EXPECT_EQ(stage.edge->calls(), 0u);
}

// Incident e99bd3: "the call has come to its end" arrives, and its answer only afterwards.
TEST(PlatformEdge, ACallThatEndsBeforeItsAnswerIsToldOverAtOnceAndNotSetUpAgain) {
  Stage stage;
  stage.core.reply = [&](std::size_t place, const std::string& id) {
    stage.core.say(place, R"({"type":"release","id":")" + id + R"(","fields":{},"cause":16})");
    stage.loop.after(0.2, [&, place, id] { stage.core.answer(place, id); });
  };
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7, "status", "2900");
  ASSERT_TRUE(stage.until([&] { return !caller.got.empty(); }, 1));
  EXPECT_EQ(caller.got[0].type, 12);
  EXPECT_EQ(caller.got[0].cause, 41);
  stage.until([&] { return stage.edge->core_counts().stranger == 1; }, 2);
  EXPECT_EQ(stage.core.count("setup"), 1u);
  EXPECT_EQ(caller.got.size(), 1u);
  EXPECT_EQ(stage.edge->calls(), 0u);
}

// The same, over a new connection: the one that its set-up went out on was reset.
TEST(PlatformEdge, TheEndOfACallThatWasTakenForLostStopsItsNextAttempt) {
  Stage stage;
  std::string lost;
  stage.core.reply = [&](std::size_t place, const std::string& id) {
    if (!lost.empty()) return;  // the next attempt is not answered
    lost = id;
    stage.core.streams[place]->reset();
    stage.core.streams[place].reset();
  };
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7, "status", "2900");
  ASSERT_TRUE(stage.until([&] { return stage.core.count("setup") == 2; }));
  const std::size_t fresh = stage.core.streams.size() - 1;
  stage.core.say(fresh, R"({"type":"release","id":")" + lost + R"(","fields":{},"cause":16})");
  ASSERT_TRUE(stage.until([&] { return !caller.got.empty(); }, 1));
  EXPECT_EQ(caller.got[0].cause, 41);
  EXPECT_EQ(stage.edge->calls(), 0u);
}

// A process dies with the answer of a set-up pending: the call may have stood there, and is over then.
TEST(PlatformEdge, ACallWhoseServerDiesBeforeItsAnswerComesHasFailed) {
  Stage stage;
  stage.core.reply = [&](std::size_t, const std::string&) { stage.loop.defer([&] { stage.core.die(); }); };
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7, "status", "2900");
  ASSERT_TRUE(stage.until([&] { return !caller.got.empty(); }, 1));
  EXPECT_EQ(caller.got[0].cause, kCauseTemporaryFailure);
  EXPECT_EQ(stage.edge->calls(), 0u);
}

TEST(PlatformEdge, ASpoiltAnswerIsNotPassedOnAndTheCallIsSetUpAgain) {
  Stage stage;
  int tries = 0;
  stage.core.reply = [&](std::size_t place, const std::string& id) {
    if (++tries == 1) return stage.core.say(place, "\x01 noise");
    stage.core.answer(place, id);
  };
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7);
  ASSERT_TRUE(stage.until([&] { return !caller.got.empty(); }));
  EXPECT_EQ(caller.got[0].type, 9);
  EXPECT_EQ(stage.core.count("release"), 1u) << "the first may stand there";
}

// Whatever bad clients send, each is told so and none is served, and a good one is.
TEST(PlatformEdge, BadClientsAreToldAndGoodOnesServed) {
  Stage stage;
  std::vector<std::unique_ptr<Caller>> bad;
  const auto add = [&](const std::string& bytes) {
    bad.push_back(std::make_unique<Caller>(stage.loop, stage.edge->listening()));
    if (!bytes.empty()) bad.back()->stream->write(bytes);
  };
  add("GET / HTTP/1.1\r\n\r\n");
  add(std::string("\0\0", 2));
  add(std::string("\xff\xff\x01", 3));
  add(std::string("\0\x40\x01half", 7));
  add("");
  bad.push_back(std::make_unique<Caller>(stage.loop, stage.edge->listening()));
  bad.back()->setup(1000, "nobody's class");
  bad.push_back(std::make_unique<Caller>(stage.loop, stage.edge->listening()));
  bad.back()->setup(1001, "status", "NaN");
  bad.push_back(std::make_unique<Caller>(stage.loop, stage.edge->listening()));
  bad.back()->setup(1002, "status", "1500", "dest:-9");
  bad.push_back(std::make_unique<Caller>(stage.loop, stage.edge->listening()));
  for (std::uint64_t id = 2000; id < 2300; ++id) bad.back()->setup(id, "nobody's class");
  Caller good(stage.loop, stage.edge->listening());
  good.setup(7);
  ASSERT_TRUE(stage.until(
      [&] {
        bool all = good.count(9) == 1;
        for (const auto& each : bad) all = all && (each->closed || each->count(12) > 0);
        return all;
      },
      3.0));
  for (const auto& each : bad) EXPECT_EQ(each->count(9), 0u);
  EXPECT_EQ(stage.core.count("setup"), 1u);
}

// At the limit of descriptors: silent connections make room, the loop does not spin, a good caller is served.
TEST(PlatformEdge, HundredsOfSilentConnectionsDoNotKeepACallerOut) {
  Stage stage(64);
  std::vector<std::unique_ptr<Caller>> silent;
  for (int i = 0; i < 300; ++i) {
    silent.push_back(std::make_unique<Caller>(stage.loop, stage.edge->listening()));
  }
  Caller good(stage.loop, stage.edge->listening());
  good.setup(7);
  ASSERT_TRUE(stage.until([&] { return good.count(9) == 1; }, 2.0));
  EXPECT_LE(stage.edge->callers().connections(), 32u);
}

TEST(PlatformEdge, TheListsChangesAreFollowedOnceEach) {
  Stage stage;
  ASSERT_TRUE(stage.until([&] { return !stage.bus.requests.empty() && !stage.bus.requests[0].empty(); }));
  EXPECT_NE(stage.bus.requests[0].find("GET /bus/read "), std::string::npos);
  EXPECT_NE(stage.bus.requests[0].find("Last-Event-ID: 1\r\n"), std::string::npos);
  const json added{{"host", "s-2"},
                   {"dial", stage.second.listener->local().str()},
                   {"class", "small"},
                   {"block", 1},
                   {"health", "SERVING"}};
  json drained = added;
  drained["host"] = "s-1";
  drained["health"] = "DRAINING";
  stage.bus.streams[0]->write(stage.event(2, {added, drained}) + stage.event(2, {added, drained}));
  ASSERT_TRUE(stage.until([&] { return stage.edge->servers() == 2; }));
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 1; }));
  EXPECT_EQ(stage.core.count("setup"), 0u);
  EXPECT_EQ(stage.second.count("setup"), 1u);
  stage.bus.streams[0]->write(stage.event(3, {{{"host", "s-1"}, {"health", "DELETED"}}}));
  EXPECT_TRUE(stage.until([&] { return stage.edge->servers() == 1; }));
}

// An event that breaks off behind its number has not been told: it is asked for again, at once.
TEST(PlatformEdge, ABreakInsideAnEventAsksForItAgain) {
  Stage stage;
  ASSERT_TRUE(stage.until([&] { return !stage.bus.requests.empty() && !stage.bus.requests[0].empty(); }));
  stage.bus.streams[0]->write(stage.event(2, json::array()) + "id: 3\ndata: {\"offs");
  stage.bus.streams[0]->close_after_flush();
  ASSERT_TRUE(
      stage.until([&] { return stage.bus.requests.size() > 1 && !stage.bus.requests[1].empty(); }, 2.0));
  EXPECT_NE(stage.bus.requests[1].find("Last-Event-ID: 2\r\n"), std::string::npos);
}

TEST(PlatformEdge, AReplacedConfigurationNamesAnotherBus) {
  Stage stage;
  ASSERT_TRUE(stage.until([&] { return !stage.bus.requests.empty() && !stage.bus.requests[0].empty(); }));
  stage.bus.streams[0]->write(stage.event(2, json::array()));
  stage.write("{\"bus\": \"127.0");  // half written: the old one stands, and it is read again
  stage.edge->reload();
  json fresh = stage.config;
  fresh["bus"] = stage.new_bus.listener.local().str();
  stage.loop.after(0.05, [&] { stage.write(fresh.dump()); });
  ASSERT_TRUE(
      stage.until([&] { return !stage.new_bus.requests.empty() && !stage.new_bus.requests[0].empty(); }));
  EXPECT_NE(stage.new_bus.requests[0].find("Last-Event-ID: 2\r\n"), std::string::npos);
}

TEST(PlatformEdge, WhatIsOpenAtSigtermIsAnsweredAndTheLoopEnds) {
  Stage stage;
  std::string held;
  stage.core.reply = [&](std::size_t place, const std::string& id) {
    if (id != hex_id(7)) return stage.core.answer(place, id);
    held = id;
    stage.loop.after(1.2, [&, place] { stage.core.answer(place, held); });
  };
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7, "status", "2900");
  ASSERT_TRUE(stage.until([&] { return !held.empty(); }));
  stage.edge->drain();
  caller.setup(8);   // within the time in which new ones may still come
  stage.loop.run();  // ends by itself
  EXPECT_EQ(stage.edge->callers().open(), 0u);
  stage.edge.reset();
  stage.until([&] { return caller.count(9) == 2; });
  EXPECT_EQ(caller.count(9), 2u);
}

// Where one sender is one of many, waits are told to others and heard from them: within 256 bytes, by names
// that all proxies share, and from their addresses alone.
TEST(PlatformEdge, WaitsAreToldToOtherProxiesAndHeardFromThem) {
  std::vector<std::string> heard;
  net::DatagramSocket* peer = nullptr;
  net::DatagramSocket* stranger = nullptr;
  net::Address own;
  Stage stage(256, [&](json& config, Stage& of) {
    net::Loop& loop = of.loop;
    const auto add = [&](std::function<void(std::string_view, net::Address)> fn) {
      of.datagrams.push_back(std::make_unique<net::DatagramSocket>(loop, net::Address{}, std::move(fn)));
      return of.datagrams.back().get();
    };
    peer = add([&](std::string_view bytes, net::Address) { heard.emplace_back(bytes); });
    stranger = add([](std::string_view, net::Address) {});
    own = net::DatagramSocket(loop, net::Address{}, [](std::string_view, net::Address) {}).local();
    config["settings"]["fleet_size"] = 60;
    config["settings"]["me"] = 0;
    config["settings"]["limits"]["peers"] = true;
    config["peer_listen"] = own.str();
    config["peers"] = json::array({own.str()});
    for (int i = 1; i < 60; ++i) config["peers"].push_back(peer->local().str());
  });
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 1 && !heard.empty(); }));
  EXPECT_LE(heard[0].size(), 256u);
  std::vector<Hearsay> hearsay = instance::unpack_hearsay(heard[0]);
  ASSERT_EQ(hearsay.size(), 1u);
  hearsay[0].wait_s = 30;  // of that server, just now
  hearsay[0].age_s = 0;
  stranger->send(instance::pack_hearsay(hearsay), own);
  stranger->send("noise", own);
  caller.setup(8);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 2; })) << "a stranger is not believed";
  peer->send("noise", own);
  peer->send(std::string(1000, 'x'), own);
  peer->send(instance::pack_hearsay(hearsay), own);
  std::uint64_t id = 9;
  EXPECT_TRUE(stage.until([&] {
    if (stage.edge->callers().open() == 0) caller.setup(id++);
    return caller.count(12) > 0;
  }));
}

// The end of a call of this proxy's former life, and a call that stood before it began.
TEST(PlatformEdge, CallsOfAFormerLifeEndAtTheirCallers) {
  Stage stage;
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 1; }));
  stage.core.say(0, R"({"type":"release","id":"00000000000000aa","fields":{},"cause":16})");
  ASSERT_TRUE(stage.until([&] { return caller.count(12) == 1; }));
  EXPECT_EQ(caller.got.back().call, 0xaau);
  // Its own caller names it only now, and then once more.
  Caller own(stage.loop, stage.edge->listening());
  for (std::size_t times = 1; times <= 2; ++times) {
    own.setup(0xaa, "status", "1500", "at:s-1");
    ASSERT_TRUE(stage.until([&] { return own.count(12) == times; }));
    EXPECT_EQ(own.got.back().call, 0xaau);
  }
  EXPECT_EQ(stage.edge->callers().standing(), 1u) << "the other caller's";
  caller.setup(0xbb, "status", "1500", "at:s-1");
  ASSERT_TRUE(stage.until([&] { return stage.edge->callers().counts().messages == 4; }));
  EXPECT_EQ(stage.core.count("setup"), 1u) << "no attempt";
  caller.stream->write(write_release(0xbb, 16));
  EXPECT_TRUE(stage.until([&] { return stage.core.count("release") == 1; }));
}

// What the proxy believes of calls, attempts and what stands, against what passed on the sockets: answers,
// refusals, spoilt lines, second copies and cuts in turn.
TEST(PlatformEdge, WhatItBelievesIsWhatPassedOnTheSockets) {
  Stage stage;
  std::set<std::string> standing;  // at the core server
  std::size_t turn = 0;
  stage.core.reply = [&](std::size_t place, const std::string& id) {
    switch (turn++ % 8) {
      case 1:
        return stage.core.say(place, R"({"type":"release","id":")" + id +
                                         R"(","fields":{"note":"all_trunks_busy"},"cause":34})");
      case 3:
        return stage.core.say(place, "\x01 noise");
      case 5:
        stage.core.answer(place, id);
        standing.insert(id);
        return stage.core.answer(place, id);
      default:
        stage.core.answer(place, id);
        standing.insert(id);
    }
  };
  Caller caller(stage.loop, stage.edge->listening());
  std::size_t ends = 0;
  std::uint64_t calls = 0;
  // How many reach the core server depends on how fast they come: it closes for a while at each refusal. Two
  // rounds of all that it says, however many calls that takes.
  while (calls < 120 || turn < 16) {
    const std::uint64_t id = ++calls;
    ASSERT_LT(id, 20000u);
    caller.setup(id);
    ASSERT_TRUE(stage.until(
        [&] { return stage.edge->callers().open() == 0 && stage.edge->desk().counts().offered == id; }));
    if (id % 10 != 0 || standing.empty()) continue;
    const std::string over = *standing.begin();
    standing.erase(standing.begin());
    for (std::size_t place = 0; place < stage.core.streams.size(); ++place) {
      if (!stage.core.streams[place]) continue;
      stage.core.say(place, R"({"type":"release","id":")" + over + R"(","fields":{},"cause":41})");
      break;
    }
    ends += 1;
    ASSERT_TRUE(stage.until([&] { return stage.edge->desk().counts().cut == ends; }));
  }
  const edge::DeskCounts& counts = stage.edge->desk().counts();
  ASSERT_TRUE(stage.until([&] { return caller.got.size() == calls + ends; }));
  EXPECT_EQ(counts.attempts, stage.core.count("setup"));
  EXPECT_EQ(counts.stood, caller.count(9));
  EXPECT_EQ(counts.refused + counts.failed + ends, caller.count(12));
  EXPECT_EQ(stage.edge->desk().standing(), standing.size());
  EXPECT_GT(counts.refused, 0u);
  EXPECT_GT(stage.edge->core_counts().spoilt, 0u);
  EXPECT_GT(stage.edge->core_counts().doubled, 0u);
}

TEST(PlatformEdge, HundredsOfCallsAndConnectionsLeaveNothing) {
  Stage stage;
  for (std::uint64_t id = 1; id <= 300; ++id) {
    Caller caller(stage.loop, stage.edge->listening());
    caller.setup(id);
    ASSERT_TRUE(stage.until([&] { return caller.count_of(id) == 1; })) << id;
    // The one before went at once, maybe with its call's end unread: that is all that may be told again here.
    for (const Caller::Got& each : caller.got) {
      EXPECT_TRUE(each.call == id || (each.call < id && each.type == 12 && each.cause == 16)) << id;
    }
    if (caller.count(9) == 1)
      stage.core.say(0, R"({"type":"release","id":")" + hex_id(id) + R"(","fields":{},"cause":16})");
    ASSERT_TRUE(stage.until([&] { return stage.edge->calls() == 0; }));
  }
  EXPECT_TRUE(stage.until([&] { return stage.edge->callers().connections() == 0; }));
  EXPECT_EQ(stage.edge->desk().open(), 0u);
}

// ---- The list: what is missing is asked for again, and nothing behind it is believed ----

json serving(const std::string& host, const Core& core, int block = 0) {
  return {{"host", host},
          {"dial", core.listener->local().str()},
          {"class", "small"},
          {"block", block},
          {"health", "SERVING"}};
}

// Waits for the watch to be begun for the nth time, behind the first event.
testing::AssertionResult watch_begun(Stage& stage, std::size_t nth) {
  const auto& requests = stage.bus.requests;
  stage.until(
      [&] { return requests.size() >= nth && requests[nth - 1].find("\r\n\r\n") != std::string::npos; });
  if (requests.size() < nth) return testing::AssertionFailure() << "begun " << requests.size() << " times";
  if (requests[nth - 1].find("Last-Event-ID: 1\r\n") != std::string::npos) return testing::AssertionSuccess();
  return testing::AssertionFailure() << requests[nth - 1];
}

TEST(PlatformEdge, AMissingEventIsAskedForAndNothingBehindItIsTaken) {
  Stage stage;
  const json third = json::array({serving("s-3", stage.second, 1)});
  ASSERT_TRUE(watch_begun(stage, 1));
  stage.bus.streams[0]->write(stage.event(3, third) + stage.event(4, json::array()));
  ASSERT_TRUE(watch_begun(stage, 2));
  EXPECT_EQ(stage.edge->servers(), 1u);
  stage.bus.streams[1]->write(stage.event(2, json::array()) + stage.event(3, third));
  EXPECT_TRUE(stage.until([&] { return stage.edge->servers() == 2; }));
}

// Asked for again behind the last good one; one that can never be read must not stop the list for good.
TEST(PlatformEdge, AMalformedEventIsAskedForAgainAndPassedOverAfterAWhile) {
  Stage stage;
  std::size_t begun = 0;
  while (begun < 10 && stage.edge->servers() == 1) {
    ASSERT_TRUE(watch_begun(stage, ++begun));
    stage.bus.streams[begun - 1]->write("id: 2\ndata: {\"offset\":2,\n\n" +
                                        stage.event(3, json::array({serving("s-3", stage.second, 1)})));
    stage.until([&] { return stage.edge->servers() == 2 || stage.bus.requests.size() > begun; });
  }
  EXPECT_EQ(stage.edge->servers(), 2u);
  EXPECT_EQ(begun, 4u);
}

// An id at a new address is another process: new calls go there, what stands at the old one ends there.
TEST(PlatformEdge, AnIdAtANewAddressIsMetThereAndItsOldCallsEndAtTheOldOne) {
  Stage stage;
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 1; }));
  ASSERT_TRUE(watch_begun(stage, 1));
  stage.bus.streams[0]->write(stage.event(2, json::array({serving("s-1", stage.second)})));
  ASSERT_TRUE(stage.until([&] { return stage.second.streams.size() >= 2; }));
  caller.setup(8);
  ASSERT_TRUE(stage.until([&] { return caller.count(9) == 2; }));
  EXPECT_EQ(stage.second.count("setup"), 1u);
  EXPECT_EQ(stage.core.count("setup"), 1u);
  EXPECT_EQ(caller.count(12), 0u) << "the first one stands";
  stage.core.say(0, R"({"type":"release","id":"0000000000000007","fields":{},"cause":16})");
  ASSERT_TRUE(stage.until([&] { return caller.count(12) == 1; }));
  EXPECT_EQ(caller.got.back().call, 7u);
  EXPECT_TRUE(stage.until([&] { return stage.edge->servers() == 1; })) << "and the old one is forgotten";
}

// A new id at an old address, and then the old one there again.
TEST(PlatformEdge, AnAddressIsTheOnesThatWasToldThereLast) {
  Stage stage;
  ASSERT_TRUE(watch_begun(stage, 1));
  stage.bus.streams[0]->write(stage.event(2, json::array({serving("s-2", stage.core)})));
  ASSERT_TRUE(stage.until([&] { return stage.edge->servers() == 2; }));
  stage.bus.streams[0]->write(stage.event(3, json::array({{{"host", "s-2"}, {"health", "DELETED"}}})) +
                              stage.event(4, json::array({serving("s-1", stage.core)})));
  ASSERT_TRUE(stage.until([&] { return stage.edge->servers() == 1; }));
  for (const auto& stream : stage.core.streams) {
    if (stream) stream->reset();  // its connections have to be made anew
  }
  const std::size_t before = stage.core.streams.size();
  EXPECT_TRUE(stage.until([&] { return stage.core.streams.size() > before; }));
  Caller caller(stage.loop, stage.edge->listening());
  EXPECT_TRUE(stage.until([&] {
    if (caller.got.size() == caller.asked) caller.setup(++caller.asked);
    return caller.count(9) == 1;
  })) << "it is suspected for a while, no more";
}

// ---- Hand-overs ----

TEST(PlatformEdge, ACallAtAServerThatTheListTellsLaterIsTakenOverThen) {
  Stage stage;
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(0xbb, "status", "1500", "at:s-2");
  ASSERT_TRUE(stage.until([&] { return stage.edge->callers().counts().messages == 1; }));
  EXPECT_TRUE(caller.got.empty());
  ASSERT_TRUE(watch_begun(stage, 1));
  stage.bus.streams[0]->write(stage.event(2, json::array({serving("s-2", stage.second)})));
  ASSERT_TRUE(stage.until([&] { return stage.second.streams.size() >= 2; }));
  stage.second.say(0, R"({"type":"release","id":"00000000000000bb","fields":{},"cause":16})");
  ASSERT_TRUE(stage.until([&] { return caller.count(12) == 1; }));
  EXPECT_EQ(caller.got.back().cause, 16);
  EXPECT_EQ(stage.edge->callers().standing(), 0u);
}

TEST(PlatformEdge, ACallAtAServerThatIsNeverToldIsToldOverInTime) {
  Stage stage;
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(0xbb, "status", "1500", "at:s-77");
  const double begun = stage.loop.now();
  ASSERT_TRUE(stage.until([&] { return caller.count(12) == 1; }));
  EXPECT_GT(stage.loop.now() - begun, 4) << "news may be late";
  EXPECT_LT(stage.loop.now() - begun, 8);
}

// ---- Shutdown ----

// What the proxy's end leaves of the time: until it stops the loop by itself.
double ends_after(Stage& stage) {
  const double begun = stage.loop.now();
  stage.edge->drain();
  stage.loop.after(11, [&] { stage.loop.stop(); });
  stage.loop.run();
  EXPECT_EQ(stage.edge->callers().open(), 0u);
  return stage.loop.now() - begun;
}

// Set-ups arrive up to the very end, on connections that lie accepted by the system alone: each is answered.
TEST(PlatformEdge, EverySetupThatIsTakenBeforeTheEndIsAnswered) {
  Stage stage;
  std::vector<std::unique_ptr<Caller>> callers;
  const net::Address to = stage.edge->listening();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(to.ip);
  address.sin_port = htons(to.port);
  bool ended = false;
  // Connected and written within one callback: the proxy sees neither before its next turn.
  std::function<void()> more = [&] {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ended = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0;  // the listener is gone
    if (ended) {
      close(fd);
      return;
    }
    const std::string bytes = Caller::setup_bytes(1000 + callers.size());
    ASSERT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    fcntl(fd, F_SETFL, O_NONBLOCK);
    callers.push_back(std::make_unique<Caller>(net::Stream::adopt(stage.loop, fd, to, 1 << 20)));
    stage.loop.after(0.001, more);
  };
  stage.loop.after(0.84, more);
  EXPECT_LT(ends_after(stage), 5);
  EXPECT_TRUE(ended);
  EXPECT_GT(callers.size(), 10u);
  for (std::size_t i = 0; i < callers.size(); ++i) {
    EXPECT_TRUE(stage.until([&] { return callers[i]->got.size() == 1; }, 2)) << i;
  }
}

// A set-up that its core server holds gets its answer before the process ends: deadlines shorter and longer
// than the time that an end has.
TEST(PlatformEdge, WhatIsOpenAtTheEndIsAnsweredBeforeIt) {
  for (const double deadline : {0.5, 9.0}) {
    Stage stage(256, [&](json& config, Stage&) {
      config["settings"]["classes"][0]["deadline_s"] = deadline;
      config["settings"]["classes"][0]["goal_time_s"] = deadline;
    });
    stage.core.reply = {};
    Caller caller(stage.loop, stage.edge->listening());
    caller.setup(7, "status", "9000");
    ASSERT_TRUE(stage.until([&] { return stage.core.count("setup") == 1; }));
    EXPECT_LT(ends_after(stage), std::min(3.0, deadline) + 0.7) << "killed by then";
    EXPECT_TRUE(stage.until([&] { return caller.got.size() == 1 && caller.closed; }));
    EXPECT_EQ(caller.count(12), 1u) << deadline;
    EXPECT_TRUE(stage.until([&] { return stage.core.count("release") == 1; })) << "and it is let go there";
  }
}

// A release that is written just before the end goes down with its connection, if that is cut or not up yet
// behind the fault (soak seed 733 with long calls): the end waits until it was heard, or can be taken for
// that.
TEST(PlatformEdge, AReleaseThatMayNotHaveArrivedPutsTheEndOff) {
  for (const bool heard : {false, true}) {
    Stage stage;
    std::size_t place = 0;
    stage.core.reply = [&](std::size_t on, const std::string&) { place = on; };
    Caller caller(stage.loop, stage.edge->listening());
    caller.setup(7, "status", "9000");
    ASSERT_TRUE(stage.until([&] { return stage.core.count("setup") == 1; }));
    constexpr double kHangsUp = 0.8;  // s, shortly before connections are closed
    stage.loop.after(kHangsUp, [&] { caller.stream->write(write_release(7, kCauseNormal)); });
    stage.loop.after(kHangsUp + 0.2, [&] {
      if (heard) stage.core.say(place, R"({"type":"released","id":")" + hex_id(7) + R"(","fields":{}})");
    });
    const double ended = ends_after(stage);
    if (heard) {
      EXPECT_LT(ended, kHangsUp + 0.7);
    } else {
      EXPECT_GT(ended, kHangsUp + 0.9);
    }
    EXPECT_EQ(stage.core.count("release"), 1u);
  }
}

// Soak --dense, seed 822: the end of a call came while the process waited for a release without a caller's
// connection left, and was told by the next process only, 2 s later.
TEST(PlatformEdge, AnEndThatNoCallerCanBeToldIsNotHeldUpByTheShutdown) {
  Stage stage;
  std::size_t place = 0;
  stage.core.reply = [&](std::size_t on, const std::string& id) {
    if (id == hex_id(7)) stage.core.answer(on, id);
    place = on;
  };
  Caller caller(stage.loop, stage.edge->listening());
  caller.setup(7);
  ASSERT_TRUE(stage.until([&] { return caller.got.size() == 1; }));
  caller.setup(8, "status", "9000");
  ASSERT_TRUE(stage.until([&] { return stage.core.count("setup") == 2; }));
  constexpr double kHangsUp = 0.8;  // s after the signal; its release goes unheard
  constexpr double kCallEnds = 1.1;
  stage.loop.after(kHangsUp, [&] {
    caller.stream->write(write_release(8, kCauseNormal));
    caller.stream->close_after_flush();
  });
  stage.loop.after(kCallEnds, [&] {
    stage.core.say(place, R"({"type":"release","id":")" + hex_id(7) + R"(","fields":{},"cause":16})");
  });
  const double ended = ends_after(stage);
  EXPECT_GT(ended, kCallEnds);
  EXPECT_LT(ended, kCallEnds + 0.3);
}

// A set-up in pieces when the process ends: the rest still comes, and is answered.
TEST(PlatformEdge, AHalfArrivedSetupIsAnsweredThroughTheEnd) {
  Stage stage;
  Caller caller(stage.loop, stage.edge->listening());
  const std::string bytes = Caller::setup_bytes(7);
  stage.loop.after(0.6, [&] { caller.stream->write(bytes.substr(0, 9)); });
  stage.loop.after(1.2, [&] { caller.stream->write(bytes.substr(9)); });  // the listener is gone by now
  ends_after(stage);
  EXPECT_TRUE(stage.until([&] { return caller.got.size() == 1; }));
}

// ---- Clients gone ----

// Held for its later try, or out: once its caller has closed, reset or cancelled, no attempt begins.
TEST(PlatformEdge, AHeldSetupWhoseCallerHasGoneIsNotSentOn) {
  for (const int way : {0, 1, 2}) {
    Stage stage;
    stage.core.reply = {};
    Caller caller(stage.loop, stage.edge->listening());
    for (std::uint64_t id = 1; id <= 4; ++id) caller.setup(id);
    // Two are out; the others are held for their later try.
    ASSERT_TRUE(stage.until([&] { return stage.core.count("setup") >= 2; }));
    const std::size_t sent = stage.core.count("setup");
    if (way == 0) caller.stream->close();
    if (way == 1) caller.stream->reset();
    if (way == 2) {
      for (std::uint64_t id = 1; id <= 4; ++id) caller.stream->write(write_release(id, 16));
    }
    ASSERT_TRUE(stage.until([&] { return stage.edge->desk().open() == 0; })) << way;
    EXPECT_LE(stage.core.count("setup"), sent) << way;
    EXPECT_TRUE(stage.until([&] { return stage.core.count("release") == sent; })) << "let go " << way;
    EXPECT_EQ(stage.edge->calls(), 0u);
  }
}

}  // namespace
}  // namespace mintrock::platform
