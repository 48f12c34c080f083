#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <string>

namespace wigeonlift {

/// How one request of a caller ended.
struct TryResult {
  /// HTTP status; 0 when no response head arrived.
  int Status = 0;
  Execution Executed = Execution::Unknown;
  /// `Wigeonlift-Failure`, or a failure that the caller observed itself; empty on success.
  std::string Failure;
  /// Ticket that the response carries.
  std::optional<std::string> Ticket;
  /// The response came to the end that its framing states.
  bool HasEnded = false;
  /// The content is complete, whatever the framing says.
  bool IsWhole = false;
  /// The content, as far as it arrived, is that of this request.
  bool IsOwn = true;
  /// The entry VM closes the connection, as a stopping one does.
  bool IsClosing = false;

  /// The response claims to be the complete answer, and it isn't.
  bool isWrong() const { return !IsOwn || (HasEnded && Status / 100 == 2 && !IsWhole); }
};

} // namespace wigeonlift
