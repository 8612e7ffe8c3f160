// The catalogue of numbered log events; docs/EVENTS.md describes each.
#pragma once

#include <array>
#include <string_view>

namespace deckpitch {

enum class Severity { Debug, Info, Warning, Error };

/// Numbers are for good: a retired one is not given again. 1xxx process,
/// 2xxx declarations and membership, 3xxx weights, 4xxx requests, 5xxx
/// platform and other outside interfaces.
enum class Event : int {
  ProcessStarted = 1000,
  ProcessDraining = 1001,
  ProcessStopped = 1002,
  SettingsRefused = 1003,
  ListenFailed = 1004,
  LinesDropped = 1005,
  SettingsRead = 1006,
  ProcessReady = 1007,
  DeclarationAccepted = 2000,
  LeaseWon = 2001,
  LeaseLost = 2002,
  DeclarationUnreadable = 2003,
  WeightsDeclared = 2004,
  InstanceListed = 2005,
  InstanceLeaving = 2006,
  InstanceGone = 2007,
  InstanceLapsed = 2008,
  InstanceSilent = 2009,
  StreamMoved = 2014,
  NewsLate = 2015,
  ReadSlow = 2016,
  DeclarationNotRelayed = 2017,
  InstanceRestarted = 2018,
  InstanceUnreadable = 2019,
  InstanceReadable = 2020,
  ListNotRelayed = 2021,
  ListOutdated = 2022,
  ListCurrent = 2023,
  StreamMoveRefused = 2024,
  ProcessStoodStill = 2026,
  EntryHeard = 2010,
  EntryLost = 2011,
  InstanceEjected = 2012,
  ReadingTakenOver = 2013,
  CopyStarted = 3000,
  CopyComplete = 3001,
  CopyAbandoned = 3002,
  ChunkCorrupt = 3003,
  PeerSetAside = 3004,
  OriginContentChanged = 3005,
  WeightsActivated = 3006,
  EngineOrderRefused = 3007,
  ManifestUnavailable = 3008,
  AssignmentWritten = 3009,
  AssignerChanged = 3010,
  StagedChunkSpoilt = 3011,
  OrderSent = 3012,
  StagingFailed = 3013,
  CopyWaits = 3014,
  UpstreamAnswerRefused = 4000,
  RequestAnswered = 4001,
  RequestRefused = 4002,
  RequestFailed = 4003,
  RequestAbandoned = 4004,
  AttemptEnded = 4005,
  StreamBroken = 4006,
  PlaceUnanswered = 4007,
  RequestTakenBack = 4008,
  PlatformUnavailable = 5000,
  PlatformAvailable = 5001,
  LinkAddressRefused = 5002,
  ReportUnavailable = 5003,
};

struct EventInfo {
  Event m_Event;
  Severity m_Severity;
  std::string_view m_Name;
};

inline constexpr std::array EventCatalogue{
    EventInfo{Event::ProcessStarted, Severity::Info, "ProcessStarted"},
    EventInfo{Event::ProcessDraining, Severity::Info, "ProcessDraining"},
    EventInfo{Event::ProcessStopped, Severity::Info, "ProcessStopped"},
    EventInfo{Event::SettingsRefused, Severity::Error, "SettingsRefused"},
    EventInfo{Event::ListenFailed, Severity::Error, "ListenFailed"},
    EventInfo{Event::DeclarationAccepted, Severity::Info,
              "DeclarationAccepted"},
    EventInfo{Event::LeaseWon, Severity::Info, "LeaseWon"},
    EventInfo{Event::LeaseLost, Severity::Warning, "LeaseLost"},
    EventInfo{Event::CopyStarted, Severity::Info, "CopyStarted"},
    EventInfo{Event::CopyComplete, Severity::Info, "CopyComplete"},
    EventInfo{Event::CopyAbandoned, Severity::Info, "CopyAbandoned"},
    EventInfo{Event::ChunkCorrupt, Severity::Warning, "ChunkCorrupt"},
    EventInfo{Event::PeerSetAside, Severity::Warning, "PeerSetAside"},
    EventInfo{Event::OriginContentChanged, Severity::Error,
              "OriginContentChanged"},
    EventInfo{Event::WeightsActivated, Severity::Info, "WeightsActivated"},
    EventInfo{Event::EngineOrderRefused, Severity::Warning,
              "EngineOrderRefused"},
    EventInfo{Event::ManifestUnavailable, Severity::Warning,
              "ManifestUnavailable"},
    EventInfo{Event::AssignmentWritten, Severity::Info, "AssignmentWritten"},
    EventInfo{Event::AssignerChanged, Severity::Info, "AssignerChanged"},
    EventInfo{Event::UpstreamAnswerRefused, Severity::Error,
              "UpstreamAnswerRefused"},
    EventInfo{Event::PlatformUnavailable, Severity::Warning,
              "PlatformUnavailable"},
    EventInfo{Event::PlatformAvailable, Severity::Info, "PlatformAvailable"},
    EventInfo{Event::LinesDropped, Severity::Warning, "LinesDropped"},
    EventInfo{Event::SettingsRead, Severity::Info, "SettingsRead"},
    EventInfo{Event::ProcessReady, Severity::Info, "ProcessReady"},
    EventInfo{Event::DeclarationUnreadable, Severity::Warning,
              "DeclarationUnreadable"},
    EventInfo{Event::WeightsDeclared, Severity::Info, "WeightsDeclared"},
    EventInfo{Event::InstanceListed, Severity::Info, "InstanceListed"},
    EventInfo{Event::InstanceLeaving, Severity::Info, "InstanceLeaving"},
    EventInfo{Event::InstanceGone, Severity::Info, "InstanceGone"},
    EventInfo{Event::InstanceLapsed, Severity::Info, "InstanceLapsed"},
    EventInfo{Event::InstanceSilent, Severity::Warning, "InstanceSilent"},
    EventInfo{Event::StreamMoved, Severity::Info, "StreamMoved"},
    EventInfo{Event::StreamMoveRefused, Severity::Info, "StreamMoveRefused"},
    EventInfo{Event::EntryHeard, Severity::Info, "EntryHeard"},
    EventInfo{Event::EntryLost, Severity::Warning, "EntryLost"},
    EventInfo{Event::InstanceEjected, Severity::Warning, "InstanceEjected"},
    EventInfo{Event::ReadingTakenOver, Severity::Info, "ReadingTakenOver"},
    EventInfo{Event::NewsLate, Severity::Warning, "NewsLate"},
    EventInfo{Event::ReadSlow, Severity::Warning, "ReadSlow"},
    EventInfo{Event::DeclarationNotRelayed, Severity::Warning,
              "DeclarationNotRelayed"},
    EventInfo{Event::InstanceRestarted, Severity::Info, "InstanceRestarted"},
    EventInfo{Event::InstanceUnreadable, Severity::Warning,
              "InstanceUnreadable"},
    EventInfo{Event::InstanceReadable, Severity::Info, "InstanceReadable"},
    EventInfo{Event::ListNotRelayed, Severity::Warning, "ListNotRelayed"},
    EventInfo{Event::ListOutdated, Severity::Warning, "ListOutdated"},
    EventInfo{Event::ListCurrent, Severity::Info, "ListCurrent"},
    EventInfo{Event::ProcessStoodStill, Severity::Warning, "ProcessStoodStill"},
    EventInfo{Event::StagedChunkSpoilt, Severity::Warning, "StagedChunkSpoilt"},
    EventInfo{Event::OrderSent, Severity::Info, "OrderSent"},
    EventInfo{Event::StagingFailed, Severity::Warning, "StagingFailed"},
    EventInfo{Event::CopyWaits, Severity::Warning, "CopyWaits"},
    EventInfo{Event::RequestAnswered, Severity::Info, "RequestAnswered"},
    EventInfo{Event::RequestRefused, Severity::Info, "RequestRefused"},
    EventInfo{Event::RequestFailed, Severity::Warning, "RequestFailed"},
    EventInfo{Event::RequestAbandoned, Severity::Info, "RequestAbandoned"},
    EventInfo{Event::AttemptEnded, Severity::Info, "AttemptEnded"},
    EventInfo{Event::StreamBroken, Severity::Warning, "StreamBroken"},
    EventInfo{Event::PlaceUnanswered, Severity::Info, "PlaceUnanswered"},
    EventInfo{Event::RequestTakenBack, Severity::Warning, "RequestTakenBack"},
    EventInfo{Event::LinkAddressRefused, Severity::Warning,
              "LinkAddressRefused"},
    EventInfo{Event::ReportUnavailable, Severity::Warning, "ReportUnavailable"},
};

/// The catalogue's entry, or null for a number that has none.
constexpr const EventInfo *findEvent(Event Wanted) {
  for (const EventInfo &Each : EventCatalogue)
    if (Each.m_Event == Wanted)
      return &Each;
  return nullptr;
}

} // namespace deckpitch
