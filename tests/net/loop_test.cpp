#include "net/loop.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace mintrock::net {
namespace {

// A client and a server stream that are connected to each other.
struct StreamPair {
  Loop loop;
  std::shared_ptr<Stream> client, server;
  std::unique_ptr<Listener> listener;
  explicit StreamPair(std::size_t max_unsent = 1 << 20) {
    listener = std::make_unique<Listener>(loop, Address{}, [this, max_unsent](int fd, Address from) {
      server = Stream::adopt(loop, fd, from, max_unsent);
      loop.stop();
    });
    client = Stream::connect(loop, listener->local(), 1 << 20);
    loop.run();
  }
};

TEST(Address, ParsesValidAndRejectsInvalidText) {
  EXPECT_EQ(parse_address("127.0.0.1:3868").str(), "127.0.0.1:3868");
  for (const char* bad : {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3.4:-1", "host:1", "1.2.3.4:1x"}) {
    EXPECT_THROW(parse_address(bad), std::runtime_error) << bad;
  }
}

TEST(Streams, TransferBytesInBothDirections) {
  StreamPair pair;
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

// Guards against unbounded memory: a stream whose peer does not read is closed when max_unsent is exceeded.
TEST(Streams, CloseWhenThePeerDoesNotRead) {
  StreamPair pair(100000);
  std::string close_reason;
  pair.client->pause_reading(true);
  pair.server->set_handlers({{}, {}, [&](const std::string& reason) {
                               close_reason = reason;
                               pair.loop.stop();
                             }});
  std::size_t max_unsent = 0;
  std::function<void()> write_more = [&] {
    pair.server->write(std::string(50000, 'x'));
    max_unsent = std::max(max_unsent, pair.server->unsent());
    if (pair.server->is_open()) pair.loop.defer(write_more);
  };
  write_more();
  pair.loop.run();
  EXPECT_EQ(close_reason, "the remote side does not read");
  EXPECT_LE(max_unsent, 150000u);
}

// max_unsent limits what the socket does not accept, not what is written in one iteration to a peer that
// reads.
TEST(Streams, StayOpenWhenMoreThanTheLimitIsWrittenInOneIteration) {
  StreamPair pair(1000);
  std::size_t got = 0;
  std::string close_reason;
  pair.client->set_handlers({{},
                             [&](std::string_view bytes) {
                               got += bytes.size();
                               if (got == 50000) pair.loop.stop();
                             },
                             {}});
  pair.server->set_handlers({{}, {}, [&](const std::string& reason) {
                               close_reason = reason;
                               pair.loop.stop();
                             }});
  for (int i = 0; i < 100; ++i) pair.server->write(std::string(500, 'x'));
  pair.loop.run();
  EXPECT_EQ(close_reason, "");
  EXPECT_EQ(got, 50000u);
}

// A handler that closes its own stream or replaces the handlers keeps its captured values while it runs.
TEST(Streams, HandlerMayCloseItsStream) {
  StreamPair pair;
  std::string seen;
  const std::string captured = "captured, and long enough to be allocated on the heap";
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

TEST(Streams, ReportARefusedConnection) {
  Loop loop;
  Address unused;  // an address without a listener
  {
    unused = Listener(loop, Address{}, [](int, Address) {}).local();
  }
  std::string close_reason;
  const auto stream = Stream::connect(loop, unused, 1000);
  stream->set_handlers({{}, {}, [&](const std::string& reason) {
                          close_reason = reason;
                          loop.stop();
                        }});
  loop.run();
  EXPECT_EQ(close_reason, "Connection refused");
}

TEST(Streams, CloseAfterFlushSendsTheBufferedOutput) {
  StreamPair pair;
  std::string got;
  pair.client->set_handlers(
      {{}, [&](std::string_view bytes) { got += bytes; }, [&](const std::string&) { pair.loop.stop(); }});
  pair.server->write("final output");
  pair.server->close_after_flush();
  pair.server.reset();
  pair.loop.run();
  EXPECT_EQ(got, "final output");
}

// A stream on the loop whose remote end is a plain socket of the test. What the test sends is readable at
// once.
struct RemoteEnd {
  explicit RemoteEnd(Loop& loop) {
    int ends[2];
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) != 0) std::abort();
    stream = Stream::adopt(loop, ends[0], Address{}, 1 << 20);
    remote_fd = ends[1];
  }
  ~RemoteEnd() { close_remote(); }
  void send(std::string_view bytes) const {
    ASSERT_EQ(::send(remote_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void close_remote() {
    if (remote_fd >= 0) ::close(remote_fd);
    remote_fd = -1;
  }
  std::shared_ptr<Stream> stream;
  int remote_fd = -1;
};

// An answer or a caller's close arrives in the same loop iteration in which a timer is due that it should
// cancel.
TEST(LoopIteration, ReadsInputBeforeTimersFire) {
  Loop loop;
  RemoteEnd answer(loop);
  RemoteEnd caller(loop);
  std::string order;
  answer.stream->set_handlers({{}, [&](std::string_view) { order += "answer "; }, {}});
  caller.stream->set_handlers({{}, {}, [&](const std::string&) { order += "closed "; }});
  answer.send("x");
  caller.close_remote();
  loop.after(0, [&] {
    order += "timer";
    loop.stop();
  });
  loop.run();
  EXPECT_TRUE(order == "answer closed timer" || order == "closed answer timer") << order;
}

// Closed connections free their slots first, so that no other connection is closed to make room.
TEST(LoopIteration, ReadsInputBeforeAcceptingConnections) {
  Loop loop;
  RemoteEnd caller(loop);
  std::string order;
  caller.stream->set_handlers({{}, {}, [&](const std::string&) { order += "closed "; }});
  Listener listener(loop, Address{}, [&](int fd, Address) {
    ::close(fd);
    order += "accepted";
    loop.stop();
  });
  Listener other_listener(loop, Address{}, [](int fd, Address) { ::close(fd); });
  const auto client = Stream::connect(loop, listener.local(), 1 << 10);
  caller.close_remote();
  loop.run();
  EXPECT_EQ(order, "closed accepted");
}

// Input that arrived before the remote side closed is read although a write fails first.
TEST(Streams, ReadPendingInputWhenAWriteFails) {
  Loop loop;
  RemoteEnd remote(loop);
  std::string got;
  bool closed = false;
  remote.stream->set_handlers({{},
                               [&](std::string_view bytes) { got += bytes; },
                               [&](const std::string&) {
                                 closed = true;
                                 loop.stop();
                               }});
  remote.send("the answer");
  remote.close_remote();
  remote.stream->write("a set-up that nobody reads");
  loop.run();
  EXPECT_EQ(got, "the answer");
  EXPECT_TRUE(closed);
}

TEST(Streams, SendTheOutputOfTheLastIteration) {
  Loop loop;
  RemoteEnd remote(loop);
  loop.after(0, [&] {
    remote.stream->write("bye");
    loop.stop();
  });
  loop.run();
  char buffer[8];
  EXPECT_EQ(::recv(remote.remote_fd, buffer, sizeof buffer, 0), 3);
}

TEST(Listener, AcceptPendingTakesTheWholeBacklog) {
  Loop loop;
  int accepted = 0;
  Listener listener(loop, Address{}, [&](int fd, Address) {
    ::close(fd);
    accepted += 1;
  });
  std::vector<std::shared_ptr<Stream>> clients;
  for (int i = 0; i < 200; ++i) clients.push_back(Stream::connect(loop, listener.local(), 1 << 10));
  listener.accept_pending();  // the loop has not run yet
  EXPECT_EQ(accepted, 200);
}

TEST(Signals, PendingBlockedSignalIsDeliveredWhenItsHandlerIsSet) {
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  raise(SIGUSR1);
  Loop loop;
  bool delivered = false;
  loop.on_signal(SIGUSR1, [&] {
    delivered = true;
    loop.stop();
  });
  loop.after(5, [&] { loop.stop(); });
  loop.run();
  EXPECT_TRUE(delivered);
}

}  // namespace
}  // namespace mintrock::net
