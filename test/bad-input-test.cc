// Bad input on every port of real processes: each row gets its answer, and
// after each the same processes serve as before.
#include "cluster.h"
#include "deckpitch/manifest.h"
#include "load/chat-client.h"
#include "net/bulk.h"
#include "proto/envelope.pb.h"
#include "raw-connection.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <zmq.hpp>

#include <functional>

using namespace deckpitch;
using namespace deckpitch::test;

namespace json = boost::json;

namespace {

constexpr std::uint64_t ContentBytes = std::uint64_t{256} * 1024;
constexpr std::uint32_t ChunkBytes = 64 * 1024;

class BadInput : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_Under.start()) << m_Under.failure();
    m_Digest = m_Under.addWeights("m@1", ContentBytes, ChunkBytes);
    ASSERT_TRUE(m_Under.declarePool("chat", "m", "1")) << m_Under.logs();
    ASSERT_TRUE(m_Under.declareServicePool("/orders"));
    expectUnharmed();
  }

  Node &entry() { return m_Under.entry(0); }
  Node &agent() { return m_Under.agent(0); }

  /// Each process still runs, each engine is ready by each entry's word, and
  /// each entry gives whole answers.
  void expectUnharmed() {
    for (std::size_t I = 0; I < m_Under.agents(); ++I)
      EXPECT_TRUE(m_Under.agent(I).m_Process->running()) << m_Under.logs();
    for (std::size_t I = 0; I < m_Under.entries(); ++I) {
      Node &Entry = m_Under.entry(I);
      ASSERT_TRUE(Entry.m_Process->running()) << m_Under.logs();
      ASSERT_TRUE(eventually([&] { return readyBy(Entry) == 2; }))
          << m_Under.logs();
      std::string Detail;
      ASSERT_TRUE(eventually([&] { return answersWhole(Entry, Detail); }))
          << Detail << m_Under.logs();
    }
  }

  std::int64_t readyBy(const Node &Entry) {
    const json::value Status =
        jsonOf(call(Entry.m_Operator, "GET", "/v1/status"));
    if (!Status.is_object())
      return -1;
    for (const json::value &Pool : Status.at("pools").as_array())
      if (Pool.at("name").as_string() == "chat")
        return Pool.at("ready").to_number<std::int64_t>();
    return -1;
  }

  /// A request may be told that it was not run, but never answered wrongly.
  static bool answersWhole(const Node &Entry, std::string &Detail) {
    load::ChatRequest Request;
    Request.m_Model = "chat";
    Request.m_Prompt = "good";
    const load::ChatAnswer Answer = load::askAndWait(Entry.m_Requests, Request);
    Detail = Answer.m_Detail;
    EXPECT_NE(Answer.m_Verdict, load::Verdict::Mixed) << Detail;
    return Answer.m_Verdict == load::Verdict::Whole;
  }

  Cluster m_Under{{.m_Engines = 2, .m_Services = 1}};
  std::string m_Digest;
};

enum class Then {
  Close,     ///< hangs up at once
  ReadToEnd, ///< the process answers or hangs up
};

struct BytesRow {
  const char *m_Name;
  std::string m_Bytes;
  Then m_Then = Then::ReadToEnd;
  const char *m_Answer = ""; ///< start of what is answered
};

/// Each row on a connection of its own.
void sendRow(const std::string &Address, const BytesRow &Row) {
  RawConnection Client(Address);
  Client.send(Row.m_Bytes);
  if (Row.m_Then == Then::Close)
    return Client.close();
  const std::string Read = Client.readToEnd();
  EXPECT_EQ(Read.rfind(Row.m_Answer, 0), 0U) << Read;
}

const std::string RandomBytes = "\x16\x03\x01\x02\xfc\xff\x9b\r\n\r\n\xfe\x7f"
                                "\x11\x80 \r\n\r\n";

/// Much more than a request of any kind may have.
const std::string HugeBody =
    "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n";

const std::vector<BytesRow> HttpRows{
    {"random bytes", RandomBytes, Then::ReadToEnd, "HTTP/1.1 400 "},
    {"nothing", "", Then::Close},
    {"half a request", "POST /v1/chat/completions HTTP/1.1\r\nHo", Then::Close},
    {"half a body",
     "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{\"mo",
     Then::Close},
    {"half a chunked body",
     "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "5\r\n{\"m",
     Then::Close},
    {"oversized header",
     "GET /v1/addresses HTTP/1.1\r\nA: " + std::string(20'000, 'x') +
         "\r\n\r\n",
     Then::ReadToEnd, "HTTP/1.1 431 "},
    {"oversized body", HugeBody, Then::ReadToEnd, "HTTP/1.1 413 "},
    {"length beyond numbers",
     "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
     Then::ReadToEnd, "HTTP/1.1 400 "},
    {"another protocol's preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
     Then::ReadToEnd, "HTTP/1.1 400 "},
    {"unknown method",
     "BREW /v1/addresses HTTP/1.1\r\nConnection: close\r\n\r\n",
     Then::ReadToEnd, "HTTP/1.1 40"},
};

TEST_F(BadInput, BytesOnTheHttpPortsHarmNothing) {
  for (const Node *Each : {&entry(), &agent()})
    for (const std::string &Address : {Each->m_Requests, Each->m_Operator})
      for (const BytesRow &Row : HttpRows) {
        SCOPED_TRACE(Each->m_Instance + " " + Address + ": " + Row.m_Name);
        sendRow(Address, Row);
        expectUnharmed();
      }
}

/// The first bytes of two ZeroMQ peers that understand each other.
const std::string ZeroMqGreeting =
    std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\x01NULL", 16) +
    std::string(48, '\0');

const std::vector<BytesRow> BusRows{
    {"random bytes", RandomBytes, Then::Close},
    {"HTTP", "GET / HTTP/1.1\r\n\r\n", Then::Close},
    {"half a greeting", ZeroMqGreeting.substr(0, 11), Then::Close},
    {"a greeting, then random bytes", ZeroMqGreeting + RandomBytes,
     Then::Close},
    {"a greeting, then a frame of an absurd length",
     ZeroMqGreeting + "\x06" + std::string(8, '\x7f') + "x", Then::Close},
};

std::string envelope(const std::string &Sender,
                     const std::function<void(wire::Envelope &)> &Fill) {
  wire::Envelope Message;
  Message.set_sender(Sender);
  Message.set_incarnation(1);
  Fill(Message);
  return Message.SerializeAsString();
}

struct MessageRow {
  const char *m_Name;
  std::string m_Bytes;
  bool m_IsEnvelope = false; ///< else it must be counted as refused
};

std::vector<MessageRow> messageRows() {
  return {
      {"nothing", ""},
      {"no protobuf", "\xff\xff\xff\xff"},
      {"text", std::string(1'000, 'x')},
      {"no sender", envelope("", [](wire::Envelope &) {})},
      {"a name that is no text", envelope("\xc3\x28", [](wire::Envelope &) {})},
      {"no body", envelope("stranger", [](wire::Envelope &) {}), true},
      {"a member that makes no sense",
       envelope("stranger",
                [](wire::Envelope &Out) {
                  auto *Beat = Out.mutable_membership()->mutable_heartbeat();
                  Beat->mutable_member()->set_role(99);
                  Beat->mutable_member()->set_state(99);
                  Beat->mutable_member()->set_control_address("no address");
                  Beat->mutable_member()->set_requests_address("none:x");
                  Beat->set_address("tcp://");
                }),
       true},
      {"a short heartbeat of a stranger",
       envelope("stranger-2",
                [](wire::Envelope &Out) {
                  Out.mutable_membership()->mutable_heartbeat()->set_address(
                      ":::");
                }),
       true},
      {"a question without an address",
       envelope("stranger",
                [](wire::Envelope &Out) {
                  Out.mutable_membership()->mutable_question();
                }),
       true},
      {"an update of unreadable declarations",
       envelope("stranger",
                [](wire::Envelope &Out) {
                  auto *Update = Out.mutable_declarations()->mutable_update();
                  for (const char *Kind : {"pools", "no-kind", ""}) {
                    auto *Object = Update->add_objects();
                    Object->set_kind(Kind);
                    Object->set_name("broken");
                    Object->set_json("{");
                  }
                }),
       true},
      {"a request for declarations without an address",
       envelope("stranger",
                [](wire::Envelope &Out) {
                  Out.mutable_declarations()->mutable_request()->set_whole(
                      true);
                }),
       true},
      {"a question for peers of unknown weights",
       envelope("agent-0",
                [](wire::Envelope &Out) {
                  Out.mutable_weights()->mutable_peer_request()->set_weights(
                      "none@0");
                }),
       true},
      {"peers that have no address",
       envelope("stranger",
                [](wire::Envelope &Out) {
                  auto *Set = Out.mutable_weights()->mutable_peer_set();
                  Set->set_weights("m@1");
                  Set->add_peers()->set_bulk_address("nowhere");
                }),
       true},
  };
}

std::uint64_t refusedBy(const Node &Of) {
  const json::value Dump = jsonOf(call(Of.m_Operator, "GET", "/v1/dump"));
  return Dump.is_object()
             ? Dump.at("controlMessagesRefused").to_number<std::uint64_t>()
             : 0;
}

TEST_F(BadInput, BytesAndMessagesOnTheControlBusHarmNothing) {
  for (const Node *Each : {&entry(), &agent()}) {
    for (const BytesRow &Row : BusRows) {
      SCOPED_TRACE(Each->m_Instance + ": " + Row.m_Name);
      sendRow(Each->m_Control, Row);
      expectUnharmed();
    }
    zmq::context_t Context;
    zmq::socket_t Sender(Context, zmq::socket_type::push);
    Sender.set(zmq::sockopt::linger, 0);
    Sender.connect("tcp://" + Each->m_Control);
    for (const MessageRow &Row : messageRows()) {
      SCOPED_TRACE(Each->m_Instance + ": " + Row.m_Name);
      const std::uint64_t Before = refusedBy(*Each);
      Sender.send(zmq::buffer(Row.m_Bytes), zmq::send_flags::none);
      if (!Row.m_IsEnvelope) {
        EXPECT_TRUE(eventually([&] { return refusedBy(*Each) > Before; }));
      }
      expectUnharmed();
    }
    const std::uint64_t Before = refusedBy(*Each);
    Sender.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
    Sender.send(zmq::str_buffer("parts"), zmq::send_flags::none);
    EXPECT_TRUE(eventually([&] { return refusedBy(*Each) > Before; }));
    expectUnharmed();
  }
}

std::string frame(const std::function<void(wire::BulkFrame &)> &Fill) {
  wire::BulkFrame Out;
  Fill(Out);
  return net::formatBulkHeader(Out);
}

std::string helloOf(const std::string &Instance, const std::string &Weights,
                    const Digest &Whole, std::uint32_t Chunks) {
  return frame([&](wire::BulkFrame &Out) {
    wire::BulkHello &Hello = *Out.mutable_hello();
    Hello.set_instance(Instance);
    Hello.set_weights(Weights);
    Hello.set_whole(Whole.m_Bytes.data(), Whole.m_Bytes.size());
    Hello.set_chunks(Chunks);
    Hello.set_here(std::string(100, '\xff'));
  });
}

std::vector<BytesRow> bulkRows(const Digest &Whole) {
  const std::string Good =
      helloOf("stranger", "m@1", Whole, ContentBytes / ChunkBytes);
  const auto Request = [](std::uint32_t Chunk) {
    return frame(
        [&](wire::BulkFrame &Out) { Out.mutable_request()->set_chunk(Chunk); });
  };
  const std::string Have = frame([](wire::BulkFrame &Out) {
    Out.mutable_have()->add_here(UINT32_MAX);
    Out.mutable_have()->add_seen(UINT32_MAX);
  });
  const std::string Piece = frame([](wire::BulkFrame &Out) {
    Out.mutable_piece()->set_chunk(UINT32_MAX);
    Out.mutable_piece()->set_offset(UINT64_MAX);
    Out.mutable_piece()->set_length(4);
  });
  const std::string LongPiece = frame([](wire::BulkFrame &Out) {
    Out.mutable_piece()->set_length(UINT32_MAX);
  });
  return {
      {"random bytes", RandomBytes},
      {"HTTP", "GET / HTTP/1.1\r\n\r\n"},
      {"an absurd length", "\xff\xff\xff\xff"},
      {"no length", std::string(4, '\0')},
      {"a header that is no protobuf",
       std::string("\0\0\0\4\xff\xff\xff\xff", 8)},
      {"a piece before the greeting", Piece + "abcd"},
      {"a greeting of unknown weights", helloOf("stranger", "none@0", {}, 4)},
      {"a greeting of other content", helloOf("stranger", "m@1", {}, 4)},
      {"a greeting with too many chunks",
       helloOf("stranger", "m@1", Whole, UINT32_MAX)},
      {"a greeting without a name", helloOf("", "m@1", Whole, 4)},
      {"half a greeting", Good.substr(0, Good.size() / 2), Then::Close},
      {"a greeting, then nothing", Good, Then::Close},
      {"requests of chunks that are none",
       Good + Request(UINT32_MAX) + Request(4), Then::Close},
      {"chunks that are none", Good + Have, Then::Close},
      {"a piece of a chunk that is none", Good + Piece + "abcd", Then::Close},
      {"a greeting, then an oversized piece", Good + LongPiece},
      {"a greeting, then random bytes", Good + RandomBytes},
      {"a second greeting", Good + Good},
  };
}

TEST_F(BadInput, BytesOnTheBulkPortHarmNothing) {
  const auto Whole = outcomeOf([&] { return parseDigest(m_Digest); });
  ASSERT_TRUE(Whole);
  for (const BytesRow &Row : bulkRows(*Whole)) {
    SCOPED_TRACE(Row.m_Name);
    sendRow(agent().m_Bulk, Row);
    expectUnharmed();
  }
}

struct CallRow {
  const char *m_Name;
  const char *m_Target;
  std::string m_Body;
  net::HttpHeader m_Header;
  unsigned m_Status;
  const char *m_Contains; ///< part of the answer's body
};

const std::vector<CallRow> CallRows{
    {"unknown pool",
     "/v1/chat/completions",
     R"({"model":"none"})",
     {},
     404,
     "none"},
    {"no model",
     "/v1/chat/completions",
     R"({"stream":true})",
     {},
     400,
     "model"},
    {"body that is no JSON", "/v1/chat/completions", "{", {}, 400, ""},
    {"body that is no object", "/v1/chat/completions", "[]", {}, 400, ""},
    {"empty body", "/v1/chat/completions", "", {}, 400, ""},
    {"model that is no text",
     "/v1/chat/completions",
     R"({"model":7})",
     {},
     400,
     "model"},
    {"unknown path", "/nothing", "", {}, 404, ""},
    {"deadline that is no number",
     "/v1/chat/completions",
     R"({"model":"chat"})",
     {"X-Deadline-Ms", "soon"},
     400,
     "X-Deadline-Ms"},
    {"unknown priority",
     "/orders/1",
     "x",
     {"X-Priority", "highest"},
     400,
     "X-Priority"},
};

TEST_F(BadInput, RequestsGetAClearRefusalAndAreNotRun) {
  for (const CallRow &Row : CallRows) {
    SCOPED_TRACE(Row.m_Name);
    net::HttpHeaders Headers;
    if (!Row.m_Header.m_Name.empty())
      Headers.add(Row.m_Header.m_Name, Row.m_Header.m_Value);
    const auto Answer =
        call(entry().m_Requests, "POST", Row.m_Target, Row.m_Body, Headers);
    EXPECT_EQ(statusOf(Answer), Row.m_Status);
    if (Answer) {
      EXPECT_EQ(Answer->m_Headers.find("X-Outcome"), "not-run");
      EXPECT_NE(Answer->m_Body.find(Row.m_Contains), std::string::npos)
          << Answer->m_Body;
    }
    expectUnharmed();
  }
  EXPECT_EQ(counterOf(m_Under.service(0).m_Address, "executions"), 0U);
}

struct ApplyRow {
  const char *m_Name;
  std::string m_File;
  int m_Exit;
  std::vector<std::string> m_Says; ///< parts of what is printed
};

const std::vector<ApplyRow> ApplyRows{
    {"no JSON", "{\n \"kind\": \"pools\"\n \"value\": 1}", 1, {"line 3"}},
    {"nothing", "", 1, {"not JSON"}},
    {"no object", "7", 1, {"an object"}},
    {"unknown kind and no value",
     R"({"kind":"puddles"})",
     1,
     {"kind: found \"puddles\"", "value: "}},
    {"every fault at once",
     R"({"kind":"pools","value":{"name":"p","kind":"engine","version":7,
         "readiness":[{"dataCentre":"","ready":-1}],"colour":1}})",
     1,
     {"model: ", "version: ", "readiness[0].dataCentre", "readiness[0].ready",
      "colour"}},
    {"a fault in the second object stops before the first",
     R"([{"kind":"pools","value":{"name":"first","model":"m","version":"1"}},
         {"kind":"pools"}])",
     1,
     {"[1].value"}},
    {"a name that is none",
     R"({"kind":"pools","value":{"name":"a/../b?c","model":"m",
         "version":"1"}})",
     1,
     {"value.name: found \"a/../b?c\", expected at most 100 letters"}},
    {"a name of the system's own objects",
     R"({"kind":"organisations","value":{"name":"~members"}})",
     1,
     {"value.name: found \"~members\""}},
    {"nested without end", std::string(100'000, '['), 1, {"not JSON"}},
};

TEST_F(BadInput, DeclarationsAreRefusedWithEveryFault) {
  const ScratchDirectory Files;
  for (const ApplyRow &Row : ApplyRows) {
    SCOPED_TRACE(Row.m_Name);
    const std::string Path = Files.write("objects.json", Row.m_File);
    Child Tool("deckpitchctl",
               {"apply", "--file=" + Path, "--entry=" + entry().m_Operator});
    EXPECT_EQ(Tool.waitForExit(), Row.m_Exit);
    const std::string Said = Tool.output() + Tool.errors();
    for (const std::string &Part : Row.m_Says)
      EXPECT_NE(Said.find(Part), std::string::npos) << Part << " not in\n"
                                                    << Said;
    const json::value Pools =
        jsonOf(call(entry().m_Operator, "GET", "/v1/resources/pools"));
    EXPECT_EQ(Pools.at("items").as_array().size(), 2U);
    expectUnharmed();
  }
}

} // namespace
