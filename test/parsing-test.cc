#include "deckpitch/declaration.h"
#include "deckpitch/json-reader.h"
#include "deckpitch/manifest.h"

#include <gtest/gtest.h>

#include <functional>

using namespace deckpitch;

namespace {

enum class Form { Json, Pool, Organisation, Upstream, Assignment, Manifest };

template <typename Parse> std::string faultOf(Parse &&Body) {
  const auto Parsed = outcomeOf(Body);
  return Parsed ? "" : Parsed.error().m_Message;
}

std::string faultOf(Form Which, const std::string &Json) {
  switch (Which) {
  case Form::Json:
    return faultOf([&] { return parseJson(Json); });
  case Form::Pool:
    return faultOf([&] { return parsePool(Json); });
  case Form::Organisation:
    return faultOf([&] { return parseOrganisation(Json); });
  case Form::Upstream:
    return faultOf([&] { return parseUpstream(Json); });
  case Form::Assignment:
    return faultOf([&] { return parseAssignment(Json); });
  case Form::Manifest:
    return faultOf([&] { return parseManifest(Json); });
  }
  return "";
}

struct BadInput {
  Form m_Form;
  std::string m_Json;
  std::vector<std::string> m_Faults; ///< parts of the expected message
};

void PrintTo(const BadInput &Input, std::ostream *Out) {
  *Out << Input.m_Json.substr(0, 200);
}

class Parsing : public testing::TestWithParam<BadInput> {};

TEST_P(Parsing, ReportsAllFaults) {
  const std::string Found = faultOf(GetParam().m_Form, GetParam().m_Json);
  EXPECT_NE(Found, "");
  for (const std::string &Each : GetParam().m_Faults)
    EXPECT_NE(Found.find(Each), std::string::npos) << Each << "\n" << Found;
}

INSTANTIATE_TEST_SUITE_P(
    Json, Parsing,
    testing::Values(BadInput{Form::Json, "", {"line 1, column 1"}},
                    BadInput{Form::Json, "{} {}", {"line 1"}},
                    BadInput{Form::Json, "{\n\"a\": 1,\n\"b\" 2}", {"line 3"}},
                    BadInput{Form::Json, "{\"a\": \"\xff\"}", {"line 1"}},
                    BadInput{Form::Json, std::string(100'000, '['), {"line 1"}},
                    BadInput{Form::Json, std::string("\0", 1), {"line 1"}}));

INSTANTIATE_TEST_SUITE_P(
    Declarations, Parsing,
    testing::Values(
        BadInput{Form::Pool, "[]", {"document: found [], expected an object"}},
        BadInput{Form::Pool,
                 R"({"kind": "engine"})",
                 {"name: found nothing", "model: found nothing",
                  "version: found nothing"}},
        BadInput{Form::Pool,
                 R"({"name": "a/b", "model": "m@1", "version": "1 2"})",
                 {"name: found \"a/b\"", "model: found \"m@1\"",
                  "version: found \"1 2\""}},
        BadInput{Form::Pool,
                 R"({"name": "..", "model": ".", "version": ".1"})",
                 {"name: found \"..\", expected at most 100 letters",
                  "model: found \".\""}},
        BadInput{Form::Pool,
                 R"({"name": "p", "kind": "service", "path": "x"})",
                 {"path: found \"x\", expected a path that starts with '/'"}},
        BadInput{Form::Pool,
                 R"({"name": "p", "model": "m", "version": "1",
                     "readiness": [{"dataCentre": "a", "ready": -1},
                                   {"dataCentre": "a"}, 4]})",
                 {"readiness[0].ready: found -1",
                  "readiness[1].dataCentre: found \"a\", expected each",
                  "readiness[2]: found 4, expected an object"}},
        BadInput{Form::Pool,
                 R"({"name": "p", "model": "m", "version": "1",
                     "prefer": "luck", "paused": 1, "queueLimit": 1.5,
                     "maxUnavailable": 0, "extra": {}})",
                 {"prefer: found \"luck\"", "paused: found 1", "queueLimit: ",
                  "maxUnavailable: found 0", "extra: found {}"}},
        BadInput{
            Form::Organisation,
            R"({"name": "", "share": 0, "maxInFlight": "x"})",
            {"name: found \"\"", "share: found 0", "maxInFlight: found \"x\""}},
        BadInput{Form::Upstream,
                 R"({"name": 1, "checksFencing": "yes"})",
                 {"name: found 1", "checksFencing: found \"yes\""}},
        BadInput{Form::Assignment,
                 R"({"instances": [{"pool": "p"}, 1]})",
                 {"instances[0].instance: found nothing",
                  "instances[1]: found 1"}}));

const std::string Hex(64, 'a');

INSTANTIATE_TEST_SUITE_P(
    Manifests, Parsing,
    testing::Values(BadInput{Form::Manifest, "{}", {"weights: ", "whole: "}},
                    BadInput{Form::Manifest,
                             R"({"weights": "m@1", "bytes": 1, "chunkBytes": 1,
                     "whole": "xyz", "chunks": []})",
                             {"64 hex digits"}},
                    BadInput{Form::Manifest,
                             R"({"weights": "m@1", "bytes": 2, "chunkBytes": 1,
                     "whole": ")" +
                                 Hex + R"(", "chunks": [")" + Hex + R"("]})",
                             {"number of chunks"}},
                    BadInput{Form::Manifest,
                             R"({"weights": "m@1", "bytes": 1, "chunkBytes": 1,
                     "whole": ")" +
                                 Hex + R"(", "chunks": [")" + Hex + R"("]})",
                             {"disagrees"}},
                    BadInput{
                        Form::Manifest,
                        R"({"weights": "m@1", "bytes": 1, "chunkBytes": 1,
                     "whole": ")" +
                            Hex + R"(", "chunks": ["zz", 4]})",
                        {"chunks[0]: found \"zz\"", "chunks[1]: found 4"}}));

TEST(Parsing, FormattedValuesParseToSameValues) {
  const Pool Engines{.m_Id = {"p"},
                     .m_Model = "m",
                     .m_Adapter = "a",
                     .m_Version = "1",
                     .m_Readiness = {{{"lahore"}, 3}, {{"multan"}, 1}},
                     .m_Preference = Preference::Time,
                     .m_Paused = true,
                     .m_QueueLimit = 7,
                     .m_MaxUnavailable = 2};
  EXPECT_EQ(*outcomeOf([&] { return parsePool(formatPool(Engines)); }),
            Engines);
  const Organisation Large{{"o"}, 5, 70};
  const auto Read =
      outcomeOf([&] { return parseOrganisation(formatOrganisation(Large)); });
  EXPECT_EQ(*Read, Large);
  Manifest Weights{.m_Weights = {"m@1"}, .m_Bytes = 3, .m_ChunkBytes = 2};
  Weights.m_Chunks.resize(2);
  Weights.m_Whole = wholeDigest(Weights.m_Chunks);
  EXPECT_EQ(*outcomeOf([&] { return parseManifest(formatManifest(Weights)); }),
            Weights);
  EXPECT_EQ(Weights.chunkLength(1), 1U);
}

} // namespace
