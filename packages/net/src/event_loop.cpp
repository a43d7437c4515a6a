// libevent's loop, timers and signals behind owning types.
#include "citrongap/net/event_loop.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace citrongap {

namespace {

timeval toTimeval(Millis span) {
  const auto ms = std::max<std::int64_t>(span.count(), 0);
  timeval tv{};
  tv.tv_sec = ms / 1000;
  tv.tv_usec = (ms % 1000) * 1000;
  return tv;
}

void invoke(evutil_socket_t, short, void *arg) {
  // A copy keeps the callback alive when it destroys its own timer.
  const std::function<void()> callback =
      *static_cast<std::function<void()> *>(arg);
  callback();
}

} // namespace

Timer::Timer(event *handle, std::unique_ptr<std::function<void()>> callback)
    : Handle(handle), Callback(std::move(callback)) {}

Timer::Timer(Timer &&other) noexcept
    : Handle(std::exchange(other.Handle, nullptr)),
      Callback(std::move(other.Callback)) {}

Timer &Timer::operator=(Timer &&other) noexcept {
  if (this != &other) {
    cancel();
    Handle = std::exchange(other.Handle, nullptr);
    Callback = std::move(other.Callback);
  }
  return *this;
}

Timer::~Timer() { cancel(); }

void Timer::cancel() {
  if (Handle)
    event_free(std::exchange(Handle, nullptr));
  Callback.reset();
}

bool Timer::pending() const {
  return Handle && event_pending(Handle, EV_TIMEOUT | EV_SIGNAL, nullptr) != 0;
}

EventLoop::EventLoop() : Base(event_base_new()) {}

EventLoop::~EventLoop() { event_base_free(Base); }

void EventLoop::run() { event_base_loop(Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::runUntil(MonoTime deadline) {
  const Timer end = at(deadline, [this] { stop(); });
  run();
}

void EventLoop::stop() { event_base_loopbreak(Base); }

Timer EventLoop::at(MonoTime deadline, std::function<void()> callback) {
  auto held = std::make_unique<std::function<void()>>(std::move(callback));
  event *handle = event_new(Base, -1, EV_TIMEOUT, invoke, held.get());
  const timeval tv = toTimeval(deadline - monoNow());
  event_add(handle, &tv);
  return {handle, std::move(held)};
}

Timer EventLoop::every(Millis interval, std::function<void()> callback) {
  auto held = std::make_unique<std::function<void()>>(std::move(callback));
  event *handle = event_new(Base, -1, EV_PERSIST, invoke, held.get());
  const timeval tv = toTimeval(interval);
  event_add(handle, &tv);
  return {handle, std::move(held)};
}

Timer EventLoop::onSignal(int number, std::function<void()> callback) {
  auto held = std::make_unique<std::function<void()>>(std::move(callback));
  event *handle =
      event_new(Base, number, EV_SIGNAL | EV_PERSIST, invoke, held.get());
  event_add(handle, nullptr);
  return {handle, std::move(held)};
}

} // namespace citrongap
