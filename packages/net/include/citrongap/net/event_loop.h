// The one loop of a process: timers and signals over libevent.
#ifndef CITRONGAP_NET_EVENT_LOOP_H
#define CITRONGAP_NET_EVENT_LOOP_H

#include "citrongap/base/time.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace citrongap {

/// A pending timer or signal; destroying it cancels the callback.
class Timer {
public:
  Timer() = default;
  Timer(event *handle, std::unique_ptr<std::function<void()>> callback);
  Timer(Timer &&other) noexcept;
  Timer &operator=(Timer &&other) noexcept;
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  ~Timer();

  void cancel();
  bool pending() const;

private:
  event *Handle = nullptr;
  std::unique_ptr<std::function<void()>> Callback;
};

class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop().
  void run();
  /// Runs until stop() or `deadline`.
  void runUntil(MonoTime deadline);
  void stop();

  /// Calls once at `deadline`; at once when it has passed.
  [[nodiscard]] Timer at(MonoTime deadline, std::function<void()> callback);
  /// Calls every `interval` until the timer is destroyed.
  [[nodiscard]] Timer every(Millis interval, std::function<void()> callback);
  [[nodiscard]] Timer onSignal(int number, std::function<void()> callback);

  event_base *base() const { return Base; }

private:
  event_base *Base;
};

} // namespace citrongap

#endif // CITRONGAP_NET_EVENT_LOOP_H
