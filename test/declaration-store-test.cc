#include "deckpitch/declaration-store.h"

#include <gtest/gtest.h>

#include <functional>

using namespace deckpitch;

namespace {

using Effect = DeclarationStore::Effect;

DeclaredObject pool(const std::string &Name, std::uint64_t At,
                    const std::string &Version = "1") {
  return {"pools",
          Name,
          {At},
          false,
          R"({"name":")" + Name + R"(","model":"m","version":")" + Version +
              R"("})"};
}

DeclaredObject deleted(const std::string &Name, std::uint64_t At) {
  return {"pools", Name, {At}, true, {}};
}

void listAll(DeclarationStore &Store, std::uint64_t AsOf,
             const std::vector<DeclaredObject> &Pools) {
  for (const std::string &Kind : replicatedKinds())
    Store.applyList(Kind, {AsOf},
                    Kind == "pools" ? Pools : std::vector<DeclaredObject>());
}

std::string versionOf(const DeclarationStore &Store, const std::string &Name) {
  const auto &Pools = Store.snapshot().m_Pools;
  const auto Found = Pools.find(PoolId{Name});
  return Found == Pools.end() ? "" : Found->second.m_Value.m_Version;
}

/// An input that must not revert an object to an older version.
struct OldInput {
  const char *m_Name;
  std::function<void(DeclarationStore &)> m_Apply;
};

const OldInput OldInputs[] = {
    {"StaleList",
     [](auto &Store) { listAll(Store, 5, {pool("chat", 5, "old")}); }},
    {"StaleEmptyList", [](auto &Store) { listAll(Store, 5, {}); }},
    {"OldEvent", [](auto &Store) { Store.applyEvent(pool("chat", 5, "old")); }},
    {"OldDeletion", [](auto &Store) { Store.applyEvent(deleted("chat", 5)); }},
    {"RepeatedEvents",
     [](auto &Store) {
       for (std::uint64_t At : {7, 5, 8, 8, 6})
         Store.applyEvent(pool("chat", At, "old"));
     }},
    {"WholeOfOldPeer",
     [](auto &Store) {
       Store.applyUpdate({{}, {5}, true, 1, {pool("chat", 5, "old")}});
     }},
    {"WholeOfEmptyPeer",
     [](auto &Store) {
       Store.applyUpdate({{}, {}, true, 0, {}});
     }},
    {"ChangesOfOldPeer",
     [](auto &Store) {
       Store.applyUpdate({{4}, {5}, false, 1, {pool("chat", 5, "old")}});
     }},
    {"PutBeforeTheDeletion",
     [](auto &Store) { Store.applyEvent(pool("gone", 6, "old")); }},
};

class NeverReverts : public testing::TestWithParam<OldInput> {};

TEST_P(NeverReverts, KeepsNewestVersion) {
  DeclarationStore Store;
  listAll(Store, 7, {pool("chat", 5, "old"), pool("gone", 6)});
  listAll(Store, 10, {pool("chat", 9, "new")});
  const std::uint64_t Digest = Store.digest();
  GetParam().m_Apply(Store);
  EXPECT_EQ(versionOf(Store, "chat"), "new");
  EXPECT_EQ(versionOf(Store, "gone"), "");
  EXPECT_EQ(Store.revision(), Revision{10});
  EXPECT_EQ(Store.digest(), Digest);
}

INSTANTIATE_TEST_SUITE_P(Old, NeverReverts, testing::ValuesIn(OldInputs),
                         [](const auto &Info) { return Info.param.m_Name; });

TEST(DeclarationStore, EventDoesNotAdvanceRevision) {
  DeclarationStore Store;
  listAll(Store, 10, {pool("chat", 9)});
  EXPECT_EQ(Store.applyEvent(pool("chat", 12, "2")), Effect::Changed);
  EXPECT_EQ(versionOf(Store, "chat"), "2");
  // The event of revision 11 may have been dropped.
  EXPECT_EQ(Store.revision(), Revision{10});
  listAll(Store, 12, {pool("chat", 12, "2"), pool("other", 11)});
  EXPECT_EQ(Store.revision(), Revision{12});
  EXPECT_EQ(versionOf(Store, "other"), "1");
}

/// During a ten-minute outage of the platform every replica is replaced and
/// initialised from the one before it. The stale list that the platform answers
/// with afterwards must not revert any of them.
TEST(DeclarationStore, FleetReplacedDuringOutageKeepsNewestVersions) {
  std::vector<DeclarationStore> Fleet(20);
  for (DeclarationStore &Each : Fleet) {
    listAll(Each, 7, {pool("chat", 5, "old"), pool("gone", 6)});
    listAll(Each, 10, {pool("chat", 9, "new")});
  }
  for (std::size_t Second = 0; Second < 600; Second += 30) {
    const std::size_t At = Second / 30;
    const std::size_t Peer = At == 0 ? Fleet.size() - 1 : At - 1;
    Fleet[At] = DeclarationStore();
    Fleet[At].applyUpdate(Fleet[Peer].whole());
  }
  for (DeclarationStore &Each : Fleet) {
    EXPECT_EQ(versionOf(Each, "chat"), "new");
    EXPECT_EQ(Each.revision(), Revision{10});
    // After the outage the platform first answers with a stale list.
    listAll(Each, 7, {pool("chat", 5, "old"), pool("gone", 6)});
    EXPECT_EQ(versionOf(Each, "chat"), "new");
    EXPECT_EQ(versionOf(Each, "gone"), "");
    EXPECT_EQ(Each.digest(), Fleet.front().digest());
  }
}

TEST(DeclarationStore, RefusesUpdateWithGap) {
  DeclarationStore Store;
  listAll(Store, 10, {pool("chat", 9)});
  const DeclarationUpdate Later{{12}, {13}, false, 99, {pool("chat", 13, "3")}};
  EXPECT_EQ(Store.applyUpdate(Later), Effect::Gap);
  EXPECT_EQ(versionOf(Store, "chat"), "1");
  EXPECT_EQ(Store.revision(), Revision{10});
}

TEST(DeclarationStore, EqualDigestAdvancesRevision) {
  DeclarationStore Holder;
  listAll(Holder, 10, {pool("chat", 9)});
  DeclarationStore Other;
  Other.applyUpdate(Holder.whole());
  listAll(Holder, 40, {pool("chat", 9)});
  EXPECT_EQ(Other.applyUpdate(Holder.revisionUpdate()), Effect::Changed);
  EXPECT_EQ(Other.revision(), Revision{40});
}

TEST(DeclarationStore, ChangesMakeReplicaEqual) {
  DeclarationStore Holder;
  listAll(Holder, 10, {pool("chat", 9), pool("old", 3)});
  DeclarationStore Other;
  Other.applyUpdate(Holder.whole());
  listAll(Holder, 20, {pool("chat", 15, "2"), pool("new", 12)});
  Holder.applyEvent(pool("early", 25));
  Other.applyUpdate(Holder.changesSince(Other.revision()));
  EXPECT_EQ(Other.digest(), Holder.digest());
  EXPECT_EQ(Other.snapshot(), Holder.snapshot());
}

TEST(DeclarationStore, DroppedDeletionsStayInForce) {
  DeclarationStore Store;
  constexpr std::uint64_t Many = 2'500;
  std::vector<DeclaredObject> All;
  for (std::uint64_t I = 1; I <= Many; ++I)
    All.push_back(pool("p" + std::to_string(I), I));
  listAll(Store, Many, All);
  for (std::uint64_t I = 1; I <= Many; ++I)
    Store.applyEvent(deleted("p" + std::to_string(I), Many + I));
  listAll(Store, 3 * Many, {});
  Store.applyEvent(pool("p1", 1)); // repeated after its deletion was dropped
  EXPECT_EQ(versionOf(Store, "p1"), "");
  EXPECT_TRUE(Store.changesSince({1}).m_Whole);
}

TEST(DeclarationStore, IgnoresUnknownKeysOfNewerRelease) {
  DeclarationStore Store;
  DeclaredObject Newer = pool("chat", 9);
  Newer.m_Json.insert(1, R"("colour":"red",)");
  listAll(Store, 10, {Newer});
  EXPECT_EQ(versionOf(Store, "chat"), "1");
}

TEST(DeclarationStore, KeepsLastReadableVersion) {
  DeclarationStore Store;
  listAll(Store, 10, {pool("chat", 9)});
  Store.applyEvent({"pools", "chat", {11}, false, R"({"name":"chat"})"});
  EXPECT_EQ(versionOf(Store, "chat"), "1");
  EXPECT_EQ(Store.unreadable(), 1U);
}

TEST(DeclarationStore, IgnoresUnknownKinds) {
  DeclarationStore Store;
  listAll(Store, 10, {});
  EXPECT_EQ(Store.applyEvent({"quotas", "a", {11}, false, "{}"}), Effect::None);
}

} // namespace
