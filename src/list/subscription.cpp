#include "list/subscription.hpp"

#include <algorithm>
#include <limits>

namespace mintrock::list {

Subscription::Steps Subscription::start(double now) {
  Steps steps;
  started_ = true;
  if (requests_.empty()) open(Reason::kStart, now, steps);
  return steps;
}

Subscription::Steps Subscription::move(double now) {
  Steps steps;
  if (!started_) return steps;
  for (Request& each : requests_) each.obsolete = true;
  while (requests_.size() >= kMaxRequests) close(requests_.front().id, steps);
  failures_ = 0;
  retry_at_ = now;
  open(Reason::kStart, now, steps);
  return steps;
}

Subscription::Steps Subscription::verify(double now) {
  Steps steps;
  if (requests_.empty() || requests_.back().state != RequestState::kSubscribed) return steps;
  make_room(now, steps);
  open(Reason::kStart, now, steps);
  return steps;
}

void Subscription::connected(RequestId id, double now) {
  Request* const request = find(id);
  if (request == nullptr || request->state != RequestState::kConnecting) return;
  request->state = RequestState::kRequested;
  request->state_since = now;
}

Subscription::Steps Subscription::received(RequestId id, Received what, double now) {
  Steps steps;
  Request* const request = find(id);
  if (request == nullptr) return steps;
  note_heard(*request, what, now);
  if (request->state != RequestState::kSubscribed) return steps;
  std::vector<RequestId> superfluous;
  bool newer = false;
  for (const Request& each : requests_) {
    const bool unanswered = each.state == RequestState::kConnecting || each.state == RequestState::kRequested;
    if (each.id == id) {
      newer = true;
    } else if (newer ? unanswered && !request->obsolete : what != Received::kBytes) {
      superfluous.push_back(each.id);
    }
  }
  for (const RequestId each : superfluous) close(each, steps);
  return steps;
}

void Subscription::note_heard(Request& request, Received what, double now) {
  if (request.state == RequestState::kSubscribed) {
    if (now - request.state_since > settings_.silence_s * kMinJitter) request.in_time_since = now;
    if (now - request.in_time_since >= settings_.late_silence_s) comments_late_ = false;
    request.state_since = now;
  } else if (what != Received::kBytes) {
    request.state = RequestState::kSubscribed;
    request.state_since = request.subscribed_at = request.in_time_since = now;
  } else if (request.state != RequestState::kResponding) {
    request.state = RequestState::kResponding;
  }
  if (request.state != RequestState::kSubscribed || request.obsolete) return;
  const bool stable = now - request.subscribed_at >= kStableAfter;
  if (what == Received::kEvent || stable) failures_ = 0;
}

Subscription::Steps Subscription::ended(RequestId id, double now) {
  Steps steps;
  const Request* const request = find(id);
  if (request == nullptr) return steps;
  const Request gone = *request;
  requests_.erase(requests_.begin() + (request - requests_.data()));
  if (gone.obsolete) return steps;
  after_loss_ = gone.state == RequestState::kSubscribed;
  delay_retry(now);
  steps.lost = !any_speaking(now);
  return steps;
}

Subscription::Steps Subscription::events_missing(double now) {
  Steps steps;
  std::vector<RequestId> subscribed;
  for (const Request& each : requests_) {
    if (each.state == RequestState::kSubscribed) subscribed.push_back(each.id);
  }
  for (const RequestId each : subscribed) close(each, steps);
  after_loss_ = true;
  delay_retry(now);
  return steps;
}

Subscription::Steps Subscription::tick(double now) {
  Steps steps;
  if (now < deadline()) return steps;
  if (requests_.empty()) {
    open(after_loss_ ? Reason::kLoss : Reason::kFailure, now, steps);
    return steps;
  }
  const Request latest = requests_.back();
  if (latest.state != RequestState::kSubscribed && any_speaking(now)) {
    close(latest.id, steps);
    return steps;
  }
  const bool silent = latest.state == RequestState::kSubscribed && !latest.obsolete;
  if (silent) comments_late_ = true;
  make_room(now, steps);
  open(silent || after_loss_ ? Reason::kLoss : Reason::kFailure, now, steps);
  return steps;
}

double Subscription::deadline() const {
  if (!started_) return std::numeric_limits<double>::infinity();
  if (requests_.empty() || requests_.back().obsolete) return retry_at_;
  return std::max(retry_at_, bound_of(requests_.back()));
}

Subscription::Request* Subscription::find(RequestId id) {
  const auto found =
      std::find_if(requests_.begin(), requests_.end(), [id](const Request& each) { return each.id == id; });
  return found == requests_.end() ? nullptr : &*found;
}

void Subscription::open(Reason reason, double now, Steps& steps) {
  Request request;
  request.id = ++last_id_;
  request.state_since = request.opened_at = now;
  request.jitter = draw(kMinJitter);
  const bool repeated = std::any_of(requests_.begin(), requests_.end(), [](const Request& each) {
    return !each.obsolete && each.state != RequestState::kSubscribed;
  });
  request.answer_wait = repeated ? kRepeatWait : reason == Reason::kLoss ? kLossAnswerWait : kAnswerWait;
  requests_.push_back(request);
  after_loss_ = false;
  steps.open = request.id;
}

void Subscription::close(RequestId id, Steps& steps) {
  requests_.erase(
      std::remove_if(requests_.begin(), requests_.end(), [id](const Request& each) { return each.id == id; }),
      requests_.end());
  steps.close.push_back(id);
}

// Closes the request of which the least is expected, if there is no room for another one: one to an earlier
// address, then a subscription that has fallen silent, then the latest. The earliest is next in a crowded
// server's queue; but it may have been forgotten there, and must then not keep later ones from waiting long
// enough.
void Subscription::make_room(double now, Steps& steps) {
  if (requests_.size() < kMaxRequests) return;
  const Request& earliest = requests_.front();
  if (earliest.state == RequestState::kSubscribed && !earliest.obsolete) steps.lost = true;
  const bool expendable = earliest.obsolete || earliest.state == RequestState::kSubscribed ||
                          now - earliest.opened_at >= kMaxUnanswered;
  close(expendable ? earliest.id : requests_.back().id, steps);
}

void Subscription::delay_retry(double now) {
  const double delay = settings_.retry_s * (1 << std::min(failures_, kMaxDoublings));
  failures_ += 1;
  retry_at_ = now + delay * draw(kMinRetryJitter);
}

double Subscription::bound_of(const Request& request) const {
  switch (request.state) {
    case RequestState::kConnecting:
      return request.state_since + std::min(request.answer_wait, kConnectWait) * request.jitter;
    case RequestState::kRequested:
    case RequestState::kResponding:
      return request.state_since + request.answer_wait * request.jitter;
    case RequestState::kSubscribed:
      return request.state_since + (comments_late_ ? settings_.late_silence_s * (1 + request.jitter) / 2
                                                   : settings_.silence_s * request.jitter);
  }
  return request.state_since;
}

// Whether the subscription is heard at the pace of a server that is in time, whatever was allowed it since.
bool Subscription::is_speaking(const Request& request, double now) const {
  return request.state == RequestState::kSubscribed && !request.obsolete &&
         now - request.state_since < settings_.silence_s * request.jitter;
}

bool Subscription::any_speaking(double now) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [this, now](const Request& each) { return is_speaking(each, now); });
}

}  // namespace mintrock::list
