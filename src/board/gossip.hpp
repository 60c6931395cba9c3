// A board that is kept alike over links: what is new is passed on to all links but the one it came by; a new
// link gets a snapshot, then changes. Free of I/O.
#pragma once

#include <functional>
#include <set>

#include "board/board.hpp"

namespace granitereel::board {

class Gossip {
public:
    using Send = std::function<void(int link, Json message)>;
    // Told of each record that is news, from whatever side.
    using OnNews = std::function<void(const std::string& name, const Record& record)>;
    Gossip(Send send, OnNews onNews) : send_(std::move(send)), onNews_(std::move(onNews)) {}

    const Board& board() const { return board_; }
    void join(int link);  // and has a snapshot sent there
    void leave(int link) { links_.erase(link); }
    // A record of this process's own, or one heard over `from`; whether it was news.
    bool put(const std::string& name, Record record, int from = 0);
    // A message {"k": "news", "r": [records]} or {"k": "whole?", "n": name}; others are passed over. A record
    // of news may come as a patch "p" from the version "f"; who does not hold that one asks for the whole.
    // Throws nlohmann::json::exception where it is not of this form.
    void heard(int link, const Json& message);
    // A record that only this process makes: put above whatever version stands, where its body differs.
    void own(const std::string& name, const Json& body);

private:
    void tell(const std::string& name, const Record& stands, const Version& before, const Json& patch,
              int from);

    Send send_;
    OnNews onNews_;
    Board board_;
    std::set<int> links_;
};

}  // namespace granitereel::board
