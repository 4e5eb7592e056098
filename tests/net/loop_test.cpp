#include "net/loop.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace mintrock::net {
namespace {

struct Pair {
  Loop loop;
  std::shared_ptr<Stream> client, server;
  std::unique_ptr<Listener> listener;
  explicit Pair(std::size_t max_unsent = 1 << 20) {
    listener = std::make_unique<Listener>(loop, Address{}, [this, max_unsent](int fd, Address from) {
      server = Stream::adopt(loop, fd, from, max_unsent);
      loop.stop();
    });
    client = Stream::connect(loop, listener->local(), 1 << 20);
    loop.run();
  }
};

TEST(Addresses, AreReadAndRejected) {
  EXPECT_EQ(parse_address("127.0.0.1:3868").str(), "127.0.0.1:3868");
  for (const char* bad : {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3.4:-1", "host:1", "1.2.3.4:1x"}) {
    EXPECT_THROW(parse_address(bad), std::runtime_error) << bad;
  }
}

TEST(Streams, CarryBytesBothWays) {
  Pair pair;
  std::string got;
  pair.server->set_handlers(
      {{}, [&](std::string_view bytes) { pair.server->write("<" + std::string(bytes) + ">"); }, {}});
  pair.client->set_handlers({{},
                             [&](std::string_view bytes) {
                               got += bytes;
                               pair.loop.stop();
                             },
                             {}});
  pair.client->write("abc");
  pair.loop.run();
  EXPECT_EQ(got, "<abc>");
}

// Guards against unbounded memory: a peer that reads nothing is closed once its bound is passed.
TEST(Streams, APeerThatReadsNothingIsClosed) {
  Pair pair(100000);
  std::string why;
  pair.client->pause_reading(true);
  pair.server->set_handlers({{}, {}, [&](const std::string& reason) {
                               why = reason;
                               pair.loop.stop();
                             }});
  std::size_t most = 0;
  std::function<void()> more = [&] {
    pair.server->write(std::string(50000, 'x'));
    most = std::max(most, pair.server->unsent());
    if (pair.server->is_open()) pair.loop.defer(more);
  };
  more();
  pair.loop.run();
  EXPECT_EQ(why, "the other side doesn't read");
  EXPECT_LE(most, 150000u);
}

// The bound is for what the system won't take, not for what is written in one turn to a peer that reads.
TEST(Streams, MuchInOneTurnIsNoPeerThatReadsNothing) {
  Pair pair(1000);
  std::size_t got = 0;
  std::string why;
  pair.client->set_handlers({{},
                             [&](std::string_view bytes) {
                               got += bytes.size();
                               if (got == 50000) pair.loop.stop();
                             },
                             {}});
  pair.server->set_handlers({{}, {}, [&](const std::string& reason) {
                               why = reason;
                               pair.loop.stop();
                             }});
  for (int i = 0; i < 100; ++i) pair.server->write(std::string(500, 'x'));
  pair.loop.run();
  EXPECT_EQ(why, "");
  EXPECT_EQ(got, 50000u);
}

// A handler that closes its own stream, or sets other handlers, goes on with what it captured.
TEST(Streams, AHandlerMayCloseItsStream) {
  Pair pair;
  std::string seen;
  const std::string captured = "captured, and long enough to live on the heap";
  pair.server->set_handlers({{},
                             [&, captured](std::string_view) {
                               pair.server->close();
                               seen = captured;
                               pair.loop.stop();
                             },
                             {}});
  pair.client->write("x");
  pair.loop.run();
  EXPECT_EQ(seen, captured);
}

TEST(Streams, ARefusedConnectionIsTold) {
  Loop loop;
  Address nobody;
  {
    nobody = Listener(loop, Address{}, [](int, Address) {}).local();
  }
  std::string why;
  const auto stream = Stream::connect(loop, nobody, 1000);
  stream->set_handlers({{}, {}, [&](const std::string& reason) {
                          why = reason;
                          loop.stop();
                        }});
  loop.run();
  EXPECT_EQ(why, "Connection refused");
}

TEST(Streams, WhatWasWrittenLastStillGoesOut) {
  Pair pair;
  std::string got;
  pair.client->set_handlers(
      {{}, [&](std::string_view bytes) { got += bytes; }, [&](const std::string&) { pair.loop.stop(); }});
  pair.server->write("last words");
  pair.server->close_after_flush();
  pair.server.reset();
  pair.loop.run();
  EXPECT_EQ(got, "last words");
}

// One end of a connection on the loop, the other in the test's hand: what it writes is there at once.
struct Wire {
  explicit Wire(Loop& loop) {
    int ends[2];
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) != 0) std::abort();
    stream = Stream::adopt(loop, ends[0], Address{}, 1 << 20);
    other = ends[1];
  }
  ~Wire() { hang_up(); }
  void say(std::string_view bytes) const {
    ASSERT_EQ(::send(other, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  void hang_up() {
    if (other >= 0) ::close(other);
    other = -1;
  }
  std::shared_ptr<Stream> stream;
  int other = -1;
};

// An answer and the time-out it races, or a caller's close and the try it is to stop, in one turn.
TEST(Turns, WhatHasArrivedIsReadBeforeTimersAct) {
  Loop loop;
  Wire answer(loop);
  Wire caller(loop);
  std::string order;
  answer.stream->set_handlers({{}, [&](std::string_view) { order += "answer "; }, {}});
  caller.stream->set_handlers({{}, {}, [&](const std::string&) { order += "closed "; }});
  answer.say("x");
  caller.hang_up();
  loop.after(0, [&] {
    order += "timer";
    loop.stop();
  });
  loop.run();
  EXPECT_TRUE(order == "answer closed timer" || order == "closed answer timer") << order;
}

// Room is made by those that have gone before anybody else's connection is closed for it.
TEST(Turns, WhatHasArrivedIsReadBeforeConnectionsAreAccepted) {
  Loop loop;
  Wire caller(loop);
  std::string order;
  caller.stream->set_handlers({{}, {}, [&](const std::string&) { order += "closed "; }});
  Listener listener(loop, Address{}, [&](int fd, Address) {
    ::close(fd);
    order += "accepted";
    loop.stop();
  });
  Listener elsewhere(loop, Address{}, [](int fd, Address) { ::close(fd); });
  const auto visitor = Stream::connect(loop, listener.local(), 1 << 10);
  caller.hang_up();
  loop.run();
  EXPECT_EQ(order, "closed accepted");
}

// What came before the other side went is read, though writing to it fails first.
TEST(Streams, AnAnswerBehindACloseIsReadThoughAWriteFails) {
  Loop loop;
  Wire wire(loop);
  std::string got;
  bool closed = false;
  wire.stream->set_handlers({{},
                             [&](std::string_view bytes) { got += bytes; },
                             [&](const std::string&) {
                               closed = true;
                               loop.stop();
                             }});
  wire.say("the answer");
  wire.hang_up();
  wire.stream->write("a set-up that meets nobody");
  loop.run();
  EXPECT_EQ(got, "the answer");
  EXPECT_TRUE(closed);
}

TEST(Streams, WhatTheLastTurnWroteGoesOut) {
  Loop loop;
  Wire wire(loop);
  loop.after(0, [&] {
    wire.stream->write("bye");
    loop.stop();
  });
  loop.run();
  char buffer[8];
  EXPECT_EQ(::recv(wire.other, buffer, sizeof buffer, 0), 3);
}

TEST(Listeners, TheBacklogIsTakenBeforeTheListenerGoes) {
  Loop loop;
  int accepted = 0;
  Listener listener(loop, Address{}, [&](int fd, Address) {
    ::close(fd);
    accepted += 1;
  });
  std::vector<std::shared_ptr<Stream>> visitors;
  for (int i = 0; i < 200; ++i) visitors.push_back(Stream::connect(loop, listener.local(), 1 << 10));
  listener.accept_pending();  // the loop has not turned once
  EXPECT_EQ(accepted, 200);
}

TEST(Signals, OneHeldBackIsGivenToItsHandlerOnceItStands) {
  sigset_t held;
  sigemptyset(&held);
  sigaddset(&held, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &held, nullptr);
  raise(SIGUSR1);
  Loop loop;
  bool told = false;
  loop.on_signal(SIGUSR1, [&] {
    told = true;
    loop.stop();
  });
  loop.after(5, [&] { loop.stop(); });
  loop.run();
  EXPECT_TRUE(told);
}

}  // namespace
}  // namespace mintrock::net
