// Tests invalid input on every port of real processes: each case gets its
// expected response, and the same processes continue to serve afterwards.
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
    ASSERT_TRUE(m_Cluster.start()) << m_Cluster.failure();
    m_Digest = m_Cluster.addWeights("m@1", ContentBytes, ChunkBytes);
    ASSERT_TRUE(m_Cluster.declarePool("chat", "m", "1")) << m_Cluster.logs();
    ASSERT_TRUE(m_Cluster.declareServicePool("/orders"));
    expectHealthy();
  }

  Node &entry() { return m_Cluster.entry(0); }
  Node &agent() { return m_Cluster.agent(0); }

  /// Checks that each process still runs, and that each entry reports all
  /// engines ready and returns complete answers.
  void expectHealthy() {
    for (std::size_t I = 0; I < m_Cluster.agents(); ++I)
      EXPECT_TRUE(m_Cluster.agent(I).m_Process->running()) << m_Cluster.logs();
    for (std::size_t I = 0; I < m_Cluster.entries(); ++I) {
      Node &Entry = m_Cluster.entry(I);
      ASSERT_TRUE(Entry.m_Process->running()) << m_Cluster.logs();
      ASSERT_TRUE(eventually([&] { return readyInstancesAt(Entry) == 2; }))
          << m_Cluster.logs();
      std::string Detail;
      ASSERT_TRUE(eventually([&] { return answersCompletely(Entry, Detail); }))
          << Detail << m_Cluster.logs();
    }
  }

  std::int64_t readyInstancesAt(const Node &Entry) {
    const json::value Status =
        jsonOf(call(Entry.m_Operator, "GET", "/v1/status"));
    if (!Status.is_object())
      return -1;
    for (const json::value &Pool : Status.at("pools").as_array())
      if (Pool.at("name").as_string() == "chat")
        return Pool.at("ready").to_number<std::int64_t>();
    return -1;
  }

  /// Returns whether a request got its complete answer. It may be rejected as
  /// not run, but a wrong answer fails the test.
  static bool answersCompletely(const Node &Entry, std::string &Detail) {
    load::ChatRequest Request;
    Request.m_Model = "chat";
    Request.m_Prompt = "good";
    const load::ChatAnswer Answer =
        load::requestCompletionAndWait(Entry.m_Requests, Request);
    Detail = Answer.m_Detail;
    EXPECT_NE(Answer.m_Verdict, load::Verdict::Mixed) << Detail;
    return Answer.m_Verdict == load::Verdict::Whole;
  }

  Cluster m_Cluster{{.m_Engines = 2, .m_Services = 1}};
  std::string m_Digest;
};

enum class ClientAction {
  Close,     ///< the client disconnects at once
  ReadToEnd, ///< the process responds or disconnects
};

struct BytesCase {
  const char *m_Name;
  std::string m_Bytes;
  ClientAction m_Action = ClientAction::ReadToEnd;
  const char *m_ExpectedStart = ""; ///< start of the response
};

/// Sends the bytes on a new connection.
void sendCase(const std::string &Address, const BytesCase &Row) {
  RawConnection Client(Address);
  Client.send(Row.m_Bytes);
  if (Row.m_Action == ClientAction::Close)
    return Client.close();
  const std::string Read = Client.readToEnd();
  EXPECT_EQ(Read.rfind(Row.m_ExpectedStart, 0), 0U) << Read;
}

const std::string RandomBytes = "\x16\x03\x01\x02\xfc\xff\x9b\r\n\r\n\xfe\x7f"
                                "\x11\x80 \r\n\r\n";

/// Announces a body far above the limit of any request.
const std::string HugeBody =
    "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n";

const std::vector<BytesCase> HttpCases{
    {"random bytes", RandomBytes, ClientAction::ReadToEnd, "HTTP/1.1 400 "},
    {"nothing", "", ClientAction::Close},
    {"half a request", "POST /v1/chat/completions HTTP/1.1\r\nHo",
     ClientAction::Close},
    {"half a body",
     "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{\"mo",
     ClientAction::Close},
    {"half a chunked body",
     "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "5\r\n{\"m",
     ClientAction::Close},
    {"oversized header",
     "GET /v1/addresses HTTP/1.1\r\nA: " + std::string(20'000, 'x') +
         "\r\n\r\n",
     ClientAction::ReadToEnd, "HTTP/1.1 431 "},
    {"oversized body", HugeBody, ClientAction::ReadToEnd, "HTTP/1.1 413 "},
    {"length beyond numbers",
     "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
     ClientAction::ReadToEnd, "HTTP/1.1 400 "},
    {"another protocol's preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
     ClientAction::ReadToEnd, "HTTP/1.1 400 "},
    {"unknown method",
     "BREW /v1/addresses HTTP/1.1\r\nConnection: close\r\n\r\n",
     ClientAction::ReadToEnd, "HTTP/1.1 40"},
};

TEST_F(BadInput, MalformedBytesOnTheHttpPortsLeaveProcessesHealthy) {
  for (const Node *Each : {&entry(), &agent()})
    for (const std::string &Address : {Each->m_Requests, Each->m_Operator})
      for (const BytesCase &Row : HttpCases) {
        SCOPED_TRACE(Each->m_Instance + " " + Address + ": " + Row.m_Name);
        sendCase(Address, Row);
        expectHealthy();
      }
}

/// A valid ZeroMQ greeting.
const std::string ZeroMqGreeting =
    std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\x01NULL", 16) +
    std::string(48, '\0');

const std::vector<BytesCase> BusCases{
    {"random bytes", RandomBytes, ClientAction::Close},
    {"HTTP", "GET / HTTP/1.1\r\n\r\n", ClientAction::Close},
    {"half a greeting", ZeroMqGreeting.substr(0, 11), ClientAction::Close},
    {"a greeting, then random bytes", ZeroMqGreeting + RandomBytes,
     ClientAction::Close},
    {"a greeting, then a frame of an absurd length",
     ZeroMqGreeting + "\x06" + std::string(8, '\x7f') + "x",
     ClientAction::Close},
};

std::string envelope(const std::string &Sender,
                     const std::function<void(wire::Envelope &)> &Fill) {
  wire::Envelope Message;
  Message.set_sender(Sender);
  Message.set_incarnation(1);
  Fill(Message);
  return Message.SerializeAsString();
}

struct MessageCase {
  const char *m_Name;
  std::string m_Bytes;
  bool m_IsEnvelope = false; ///< if false, it must be counted as refused
};

std::vector<MessageCase> messageCases() {
  return {
      {"nothing", ""},
      {"not protobuf", "\xff\xff\xff\xff"},
      {"text", std::string(1'000, 'x')},
      {"no sender", envelope("", [](wire::Envelope &) {})},
      {"a sender that is not valid UTF-8",
       envelope("\xc3\x28", [](wire::Envelope &) {})},
      {"no body", envelope("stranger", [](wire::Envelope &) {}), true},
      {"a member with invalid fields",
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

std::uint64_t refusedMessagesAt(const Node &Of) {
  const json::value Dump = jsonOf(call(Of.m_Operator, "GET", "/v1/dump"));
  return Dump.is_object()
             ? Dump.at("controlMessagesRefused").to_number<std::uint64_t>()
             : 0;
}

TEST_F(BadInput, MalformedMessagesOnTheControlBusLeaveProcessesHealthy) {
  for (const Node *Each : {&entry(), &agent()}) {
    for (const BytesCase &Row : BusCases) {
      SCOPED_TRACE(Each->m_Instance + ": " + Row.m_Name);
      sendCase(Each->m_Control, Row);
      expectHealthy();
    }
    zmq::context_t Context;
    zmq::socket_t Sender(Context, zmq::socket_type::push);
    Sender.set(zmq::sockopt::linger, 0);
    Sender.connect("tcp://" + Each->m_Control);
    for (const MessageCase &Row : messageCases()) {
      SCOPED_TRACE(Each->m_Instance + ": " + Row.m_Name);
      const std::uint64_t Before = refusedMessagesAt(*Each);
      Sender.send(zmq::buffer(Row.m_Bytes), zmq::send_flags::none);
      if (!Row.m_IsEnvelope) {
        EXPECT_TRUE(
            eventually([&] { return refusedMessagesAt(*Each) > Before; }));
      }
      expectHealthy();
    }
    const std::uint64_t Before = refusedMessagesAt(*Each);
    Sender.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
    Sender.send(zmq::str_buffer("parts"), zmq::send_flags::none);
    EXPECT_TRUE(eventually([&] { return refusedMessagesAt(*Each) > Before; }));
    expectHealthy();
  }
}

std::string bulkFrame(const std::function<void(wire::BulkFrame &)> &Fill) {
  wire::BulkFrame Out;
  Fill(Out);
  return net::formatBulkHeader(Out);
}

std::string helloFrame(const std::string &Instance, const std::string &Weights,
                       const Digest &Whole, std::uint32_t Chunks) {
  return bulkFrame([&](wire::BulkFrame &Out) {
    wire::BulkHello &Hello = *Out.mutable_hello();
    Hello.set_instance(Instance);
    Hello.set_weights(Weights);
    Hello.set_whole(Whole.m_Bytes.data(), Whole.m_Bytes.size());
    Hello.set_chunks(Chunks);
    Hello.set_here(std::string(100, '\xff'));
  });
}

std::vector<BytesCase> bulkCases(const Digest &Whole) {
  const std::string Good =
      helloFrame("stranger", "m@1", Whole, ContentBytes / ChunkBytes);
  const auto Request = [](std::uint32_t Chunk) {
    return bulkFrame(
        [&](wire::BulkFrame &Out) { Out.mutable_request()->set_chunk(Chunk); });
  };
  const std::string Have = bulkFrame([](wire::BulkFrame &Out) {
    Out.mutable_have()->add_here(UINT32_MAX);
    Out.mutable_have()->add_seen(UINT32_MAX);
  });
  const std::string Piece = bulkFrame([](wire::BulkFrame &Out) {
    Out.mutable_piece()->set_chunk(UINT32_MAX);
    Out.mutable_piece()->set_offset(UINT64_MAX);
    Out.mutable_piece()->set_length(4);
  });
  const std::string LongPiece = bulkFrame([](wire::BulkFrame &Out) {
    Out.mutable_piece()->set_length(UINT32_MAX);
  });
  return {
      {"random bytes", RandomBytes},
      {"HTTP", "GET / HTTP/1.1\r\n\r\n"},
      {"an absurd length", "\xff\xff\xff\xff"},
      {"no length", std::string(4, '\0')},
      {"a header that is not protobuf",
       std::string("\0\0\0\4\xff\xff\xff\xff", 8)},
      {"a piece before the greeting", Piece + "abcd"},
      {"a greeting of unknown weights",
       helloFrame("stranger", "none@0", {}, 4)},
      {"a greeting of other content", helloFrame("stranger", "m@1", {}, 4)},
      {"a greeting with too many chunks",
       helloFrame("stranger", "m@1", Whole, UINT32_MAX)},
      {"a greeting without a name", helloFrame("", "m@1", Whole, 4)},
      {"half a greeting", Good.substr(0, Good.size() / 2), ClientAction::Close},
      {"a greeting, then nothing", Good, ClientAction::Close},
      {"requests for chunks out of range",
       Good + Request(UINT32_MAX) + Request(4), ClientAction::Close},
      {"announced chunks out of range", Good + Have, ClientAction::Close},
      {"a piece of a chunk out of range", Good + Piece + "abcd",
       ClientAction::Close},
      {"a greeting, then an oversized piece", Good + LongPiece},
      {"a greeting, then random bytes", Good + RandomBytes},
      {"a second greeting", Good + Good},
  };
}

TEST_F(BadInput, MalformedBytesOnTheBulkPortLeaveProcessesHealthy) {
  const auto Whole = outcomeOf([&] { return parseDigest(m_Digest); });
  ASSERT_TRUE(Whole);
  for (const BytesCase &Row : bulkCases(*Whole)) {
    SCOPED_TRACE(Row.m_Name);
    sendCase(agent().m_Bulk, Row);
    expectHealthy();
  }
}

struct CallCase {
  const char *m_Name;
  const char *m_Target;
  std::string m_Body;
  net::HttpHeader m_Header;
  unsigned m_Status;
  const char *m_Contains; ///< part of the response body
};

const std::vector<CallCase> CallCases{
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
    {"body that is not JSON", "/v1/chat/completions", "{", {}, 400, ""},
    {"body that is not an object", "/v1/chat/completions", "[]", {}, 400, ""},
    {"empty body", "/v1/chat/completions", "", {}, 400, ""},
    {"model that is not a string",
     "/v1/chat/completions",
     R"({"model":7})",
     {},
     400,
     "model"},
    {"unknown path", "/nothing", "", {}, 404, ""},
    {"deadline that is not a number",
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

TEST_F(BadInput, InvalidRequestsAreRejectedAndNotRun) {
  for (const CallCase &Row : CallCases) {
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
    expectHealthy();
  }
  EXPECT_EQ(counterOf(m_Cluster.service(0).m_Address, "executions"), 0U);
}

struct ApplyCase {
  const char *m_Name;
  std::string m_File;
  int m_Exit;
  std::vector<std::string> m_ExpectedOutput; ///< parts of the output
};

const std::vector<ApplyCase> ApplyCases{
    {"no JSON", "{\n \"kind\": \"pools\"\n \"value\": 1}", 1, {"line 3"}},
    {"nothing", "", 1, {"not JSON"}},
    {"not an object", "7", 1, {"an object"}},
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
    {"an invalid name",
     R"({"kind":"pools","value":{"name":"a/../b?c","model":"m",
         "version":"1"}})",
     1,
     {"value.name: found \"a/../b?c\", expected at most 100 letters"}},
    {"a name reserved for internal objects",
     R"({"kind":"organisations","value":{"name":"~members"}})",
     1,
     {"value.name: found \"~members\""}},
    {"nested without end", std::string(100'000, '['), 1, {"not JSON"}},
};

TEST_F(BadInput, InvalidDeclarationsAreRejectedWithEveryProblem) {
  const ScratchDirectory Files;
  for (const ApplyCase &Row : ApplyCases) {
    SCOPED_TRACE(Row.m_Name);
    const std::string Path = Files.write("objects.json", Row.m_File);
    Child Tool("deckpitchctl",
               {"apply", "--file=" + Path, "--entry=" + entry().m_Operator});
    EXPECT_EQ(Tool.waitForExit(), Row.m_Exit);
    const std::string Output = Tool.output() + Tool.errors();
    for (const std::string &Part : Row.m_ExpectedOutput)
      EXPECT_NE(Output.find(Part), std::string::npos) << Part << " not in\n"
                                                      << Output;
    const json::value Pools =
        jsonOf(call(entry().m_Operator, "GET", "/v1/resources/pools"));
    EXPECT_EQ(Pools.at("items").as_array().size(), 2U);
    expectHealthy();
  }
}

} // namespace
