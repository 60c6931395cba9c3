// Bytes that have come in and are not yet used up, and the one budget that all of them share.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <span>
#include <string_view>
#include <utility>

namespace granitereel {

class Budget {
public:
    explicit Budget(std::size_t limit) : limit_(limit) {}
    bool take(std::size_t bytes) {
        if (bytes > limit_ - held_) return false;
        held_ += bytes;
        return true;
    }
    void give(std::size_t bytes) { held_ -= bytes; }

private:
    std::size_t limit_, held_ = 0;
};

// A part of the budget, given back with the object.
class Claim {
public:
    Claim() = default;
    Claim(Budget& budget, std::size_t bytes)
        : budget_(budget.take(bytes) ? &budget : nullptr), bytes_(bytes) {}
    Claim(Claim&& other) noexcept : budget_(std::exchange(other.budget_, nullptr)), bytes_(other.bytes_) {}
    Claim& operator=(Claim&& other) noexcept {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    ~Claim() {
        if (budget_) budget_->give(bytes_);
    }
    explicit operator bool() const { return budget_; }

private:
    Budget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

class Inbox {
public:
    explicit Inbox(Budget& budget) : budget_(budget) {}
    Inbox(const Inbox&) = delete;
    Inbox& operator=(const Inbox&) = delete;
    ~Inbox() { budget_.give(capacity_); }

    std::string_view unread() const { return {bytes_.get() + begin_, end_ - begin_}; }

    // Room to read into, so that `whole` unread bytes fit; none once the budget is spent.
    std::span<char> room(std::size_t whole = 0) {
        // 4 KiB take in any ordinary message at one read.
        const std::size_t wanted = std::max<std::size_t>({whole, end_ - begin_ + 1, 4096});
        if (begin_ > 0 && capacity_ - begin_ < wanted) {
            std::memmove(bytes_.get(), bytes_.get() + begin_, end_ - begin_);
            end_ -= begin_;
            begin_ = 0;
        }
        if (capacity_ < wanted) {
            if (!budget_.take(wanted)) return {};
            std::unique_ptr<char[]> larger(new char[wanted]);
            if (end_ > 0) std::memcpy(larger.get(), bytes_.get(), end_);
            bytes_ = std::move(larger);
            budget_.give(capacity_);
            capacity_ = wanted;
        }
        return {bytes_.get() + end_, capacity_ - end_};
    }
    void filled(std::size_t bytes) { end_ += bytes; }
    void use(std::size_t bytes) {
        begin_ += bytes;
        if (begin_ < end_) return;
        begin_ = end_ = 0;
        // What a rare large message needed is not kept for the small ones after it.
        if (capacity_ > 4096) {
            budget_.give(capacity_);
            capacity_ = 0;
            bytes_.reset();
        }
    }

private:
    Budget& budget_;
    std::unique_ptr<char[]> bytes_;
    std::size_t capacity_ = 0, begin_ = 0, end_ = 0;
};

}  // namespace granitereel
