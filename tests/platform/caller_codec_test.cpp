#include "platform/caller_codec.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace mintrock::platform {
namespace {

using Parameters = std::vector<std::pair<Parameter, std::string>>;

std::string setup_bytes(std::uint64_t id, const Parameters& overrides = {}) {
  Parameters parameters{{Parameter::kClass, "voice"},
                        {Parameter::kTimeLeft, "1500"},
                        {Parameter::kCalledNumber, "7f3a9c21e0b4d655"},
                        {Parameter::kAttributes, "dest:2;width:1;via:-1"},
                        {Parameter::kDescription, "m=audio\r\n"}};
  for (const auto& [code, value] : overrides) {
    bool replaced = false;
    for (auto& each : parameters) {
      if (each.first != code) continue;
      each.second = value;
      replaced = true;
    }
    if (!replaced) parameters.emplace_back(code, value);
  }
  return write_message(CallerMessageType::kSetup, id, parameters);
}

std::optional<CallSetup> read(const std::string& bytes, std::string& error) {
  MessageParser parser;
  parser.feed(bytes);
  const auto message = parser.next();
  const char* fault = parser.fault();
  std::optional<CallSetup> setup;
  if (message) setup = read_setup(*message, fault);
  error = fault == nullptr ? "" : fault;
  return setup;
}

TEST(CallerCodec, ParsesASetupSplitAtAnySize) {
  const std::string bytes = setup_bytes(0x9b1f03aa5c7e2d41, {{Parameter::kRedial, "1"}});
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    MessageParser parser;
    std::optional<CallSetup> setup;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      EXPECT_FALSE(setup);
      parser.feed(std::string_view(bytes).substr(at, piece));
      if (const auto message = parser.next()) {
        const char* error = nullptr;
        setup = read_setup(*message, error);
      }
    }
    ASSERT_TRUE(setup) << piece;
    EXPECT_EQ(setup->id, 0x9b1f03aa5c7e2d41u);
    EXPECT_EQ(setup->service_class, "voice");
    EXPECT_DOUBLE_EQ(setup->time_left_s, 1.5);
    EXPECT_EQ(setup->number, "7f3a9c21e0b4d655");
    EXPECT_EQ(setup->key, 0x7f3a9c21e0b4d655u);
    EXPECT_EQ(setup->first_choice, 2);
    EXPECT_DOUBLE_EQ(setup->lines, 1);
    EXPECT_TRUE(setup->redialled);
    EXPECT_FALSE(setup->was_cut);
    EXPECT_EQ(setup->description, "m=audio\r\n");
    EXPECT_FALSE(parser.next());
    EXPECT_FALSE(parser.has_partial_message());
  }
}

TEST(CallerCodec, ParsesSetupsOfCutAndEstablishedCalls) {
  std::string error;
  auto setup = read(setup_bytes(5, {{Parameter::kAttributes, "dest:0;width:1;again:1"}}), error);
  ASSERT_TRUE(setup);
  EXPECT_TRUE(setup->was_cut);
  setup =
      read(setup_bytes(5, {{Parameter::kAttributes, "at:s-00c41f7a"}, {Parameter::kDescription, ""}}), error);
  ASSERT_TRUE(setup) << error;
  EXPECT_EQ(setup->established_server, "s-00c41f7a");
}

// Malformed set-ups of misbehaving clients are all rejected with a named fault.
TEST(CallerCodec, InvalidSetupsAreRejectedWithANamedFault) {
  const Parameters bad[] = {{{Parameter::kTimeLeft, "soon"}},
                            {{Parameter::kTimeLeft, "nan"}},
                            {{Parameter::kTimeLeft, "inf"}},
                            {{Parameter::kTimeLeft, "-5"}},
                            {{Parameter::kTimeLeft, "0"}},
                            {{Parameter::kTimeLeft, "99999999999"}},
                            {{Parameter::kTimeLeft, ""}},
                            {{Parameter::kClass, ""}},
                            {{Parameter::kRedial, "often"}},
                            {{Parameter::kAttributes, "dest:many"}},
                            {{Parameter::kAttributes, "dest:-7"}},
                            {{Parameter::kAttributes, "dest:1.5"}},
                            {{Parameter::kAttributes, "dest:99999999"}},
                            {{Parameter::kAttributes, "width:0"}},
                            {{Parameter::kAttributes, "width:nan"}},
                            {{Parameter::kAttributes, "width:-1"}},
                            {{Parameter::kAttributes, "width:1e9"}},
                            {{Parameter::kAttributes, "again:2"}},
                            {{Parameter::kAttributes, "at:"}},
                            {{Parameter::kAttributes, "nonsense"}},
                            {{Parameter::kDescription, ""}},
                            {{Parameter::kDescription, "\xff\xfe"}},
                            {{Parameter::kClass, "vo\xc0"}},
                            {{Parameter::kCalledNumber, std::string(300, '7')}}};
  for (const Parameters& each : bad) {
    std::string error;
    EXPECT_FALSE(read(setup_bytes(5, each), error)) << each[0].second;
    EXPECT_FALSE(error.empty()) << each[0].second;
  }
  std::string error;
  EXPECT_FALSE(read(setup_bytes(0), error));
  EXPECT_EQ(error, "missing call id");
  EXPECT_FALSE(
      read(write_message(CallerMessageType::kSetup, 5, {{Parameter::kClass, "a"}, {Parameter::kClass, "b"}}),
           error));
  EXPECT_EQ(error, "duplicate parameter");
}

TEST(CallerCodec, MalformedFramesAreRejectedWithANamedFault) {
  const std::pair<std::string, const char*> bad[] = {
      {std::string("\0\0\1", 3), "length too small"},
      {std::string("\0\10\1", 3), "length too small"},
      {std::string("\xff\xff", 2), "length too large"},
      {std::string("\x3f\xff", 2), "length too large"},
      {std::string("\0\13\1\0\0\0\0\0\0\0\5\3\0", 13), "truncated parameter header"},
      {std::string("\0\14\1\0\0\0\0\0\0\0\5\3\0\7", 14), "parameter exceeds its message"},
      {std::string("\0\14\1\0\0\0\0\0\0\0\5\3\xff\xff", 14), "parameter exceeds its message"}};
  for (const auto& [bytes, name] : bad) {
    MessageParser parser;
    parser.feed(bytes);
    EXPECT_FALSE(parser.next());
    ASSERT_NE(parser.fault(), nullptr) << name;
    EXPECT_STREQ(parser.fault(), name);
    parser.feed(setup_bytes(5));
    EXPECT_FALSE(parser.next()) << "nothing is parsed after a fault";
  }
}

// Guards against a corrupt length that makes the proxy wait for and buffer more than one message.
TEST(CallerCodec, CorruptBytesNeverMakeItBufferMoreThanOneMessage) {
  std::mt19937_64 random(7);
  for (int run = 0; run < 2000; ++run) {
    MessageParser parser;
    std::string bytes = setup_bytes(random());
    for (int i = 0; i < 3; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    parser.feed(bytes + bytes);
    for (int i = 0; i < 10; ++i) {
      const auto message = parser.next();
      if (!message) break;
      const char* error = nullptr;
      read_setup(*message, error);
    }
  }
}

TEST(CallerCodec, ParsesWrittenMessages) {
  MessageParser parser;
  parser.feed(write_answer(7, "v=0") + write_release(8, kCauseCongestion, 250) + write_release(9, 41) +
              write_test_result(10, true) + write_released(11));
  auto message = parser.next();
  ASSERT_TRUE(message);
  EXPECT_EQ(message->type, 9);
  EXPECT_EQ(message->find(Parameter::kDescription), "v=0");
  message = parser.next();
  ASSERT_TRUE(message);
  EXPECT_EQ(message->type, 12);
  EXPECT_EQ(message->call, 8u);
  EXPECT_EQ(message->find(Parameter::kRetryAfter), "250");
  EXPECT_EQ(read_cause(*message), 42);
  message = parser.next();
  ASSERT_TRUE(message);
  EXPECT_TRUE(message->find(Parameter::kRetryAfter).empty());
  EXPECT_EQ(read_cause(*message), 41);
  message = parser.next();
  ASSERT_TRUE(message);
  EXPECT_EQ(message->type, 53);
  EXPECT_EQ(read_cause(*message), 1);
  message = parser.next();
  ASSERT_TRUE(message);
  EXPECT_EQ(message->type, 16);
}

TEST(CallerCodec, IdsHaveSixteenHexDigits) {
  EXPECT_EQ(hex_id(0x9b1f03aa5c7e2d41), "9b1f03aa5c7e2d41");
  EXPECT_EQ(hex_id(5), "0000000000000005");
  EXPECT_EQ(read_hex_id("9b1f03aa5c7e2d41"), 0x9b1f03aa5c7e2d41u);
  for (const char* bad : {"", "9b1f", "9b1f03aa5c7e2d4g", "9b1f03aa5c7e2d411"})
    EXPECT_FALSE(read_hex_id(bad));
}

// Many connections, each with a part of a large message, must not keep the buffers of what came before it.
TEST(CallerCodec, ParserKeepsLittleMoreThanThePartOfAMessage) {
  MessageParser parser;
  const std::string whole =
      write_message(CallerMessageType::kSetup, 7, {{Parameter::kDescription, std::string(15000, 'x')}});
  std::string chunk = whole + whole + whole + whole;
  chunk += whole.substr(0, 100);
  parser.feed(chunk);
  std::size_t messages = 0;
  while (parser.next()) messages += 1;
  EXPECT_EQ(messages, 4u);
  EXPECT_TRUE(parser.has_partial_message());
  EXPECT_LE(parser.buffered(), 1024u);
  parser.feed(whole.substr(100));
  EXPECT_TRUE(parser.next());
  EXPECT_FALSE(parser.next());
  EXPECT_LE(parser.buffered(), 1024u);
}

}  // namespace
}  // namespace mintrock::platform
