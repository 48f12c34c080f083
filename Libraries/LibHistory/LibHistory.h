#pragma once

// Histories of test runs. Callers, entry daemons, upstreams and test scripts each write a file of
// JSON lines, one event a line; `wigeonlift-check` reads all files of a run and judges the
// invariants I1 to I7.
//
//   HistoryWriter history;                                    // writes nothing until it is opened
//   absl::Status status = history.open("entry-1.jsonl", "entry-1");
//   history.write(ProbeEvent{"rankview", "rankview-3"});      // from any thread
//   history.write(DispatchEvent{...}, now);                   // at a time that is known already
//
// A line has the fields `time_ns`, `writer`, `incarnation`, `sequence`, `event` and those of the
// event, which HistoryEvent.h describes. `time_ns` is CLOCK_MONOTONIC, which all processes of a
// machine share (`std::chrono::steady_clock`, in Python `time.monotonic_ns()`). `incarnation` is
// the time at which the file was opened; `sequence` counts from 0 without gaps in an incarnation.

#include <LibHistory/AtMostOnceCheck.h>
#include <LibHistory/CatalogueCheck.h>
#include <LibHistory/EventText.h>
#include <LibHistory/ExecutionCheck.h>
#include <LibHistory/GracefulStopCheck.h>
#include <LibHistory/History.h>
#include <LibHistory/HistoryCheck.h>
#include <LibHistory/HistoryEvent.h>
#include <LibHistory/HistoryReader.h>
#include <LibHistory/HistoryWriter.h>
#include <LibHistory/LeavingUpstreamCheck.h>
#include <LibHistory/MeasuringBudgetCheck.h>
#include <LibHistory/OwnResponseCheck.h>
#include <LibHistory/Verdict.h>
