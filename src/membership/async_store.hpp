// The store on a thread of its own, so that the loop never waits for a disk.
//
// What is to be kept is handed over and written in order; changes that come faster than the disk takes them
// are merged, so at most one waits. Faults are told once each, by the callback, on the thread that writes.
#ifndef MINTROCK_SRC_MEMBERSHIP_ASYNC_STORE_HPP_
#define MINTROCK_SRC_MEMBERSHIP_ASYNC_STORE_HPP_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "membership/store.hpp"

namespace mintrock::membership {

// What two changes, one after the other, come to. Pure.
Change merge_changes(Change first, Change then);

class AsyncStore {
 public:
  // Throws StoreError if the store can't be had; one that is damaged is set aside, told, and begun anew.
  AsyncStore(const std::string& path, Store::Durability durability,
             std::function<void(const std::string&)> fault);
  // What waits is written first.
  ~AsyncStore();
  AsyncStore(const AsyncStore&) = delete;

  const StoredList& loaded() const { return loaded_; }  // as it was at the start
  void write(Change change);

 private:
  void run_writer();

  std::function<void(const std::string&)> fault_;
  std::unique_ptr<Store> store_;
  StoredList loaded_;
  std::mutex mutex_;
  std::condition_variable work_;
  std::optional<Change> waiting_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace mintrock::membership

#endif  // MINTROCK_SRC_MEMBERSHIP_ASYNC_STORE_HPP_
