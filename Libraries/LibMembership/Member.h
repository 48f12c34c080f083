#pragma once

#include <LibMembership/PeerMessage.h>

#include <array>

namespace wigeonlift {

/// An entry VM as this process knows it.
struct Member {
  MemberUpdate Info;
  /// Boot id is known from the VM itself or from a rumour, not only from the platform's list.
  bool HasBoot = false;
  /// The platform's latest list names it as live.
  bool IsListed = false;
  /// Earlier incarnations, whose late messages and rumours are ignored.
  std::array<BootId, 4> FormerBoots{};
  std::size_t FormerBootCount = 0;
  /// When the present state began.
  TimePoint ChangedAt{};
  /// When a message of this incarnation last arrived, and the time that the message stated.
  TimePoint HeardAt{};
  TimePoint PeerSentAt{};
  bool HasBeenHeard = false;
  int Load = 0;

  bool isUsable() const {
    return Info.State == MemberState::Alive || Info.State == MemberState::Suspect;
  }
  bool isFormer(const BootId &boot) const;
  /// Moves to another incarnation of the VM. The former one is ignored from then on if the new one
  /// was heard from itself; a rumour doesn't tell which of the two is the later one.
  void setBoot(const BootId &boot, bool isHeard);
};

} // namespace wigeonlift
