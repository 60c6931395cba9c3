// A board that is kept alike over links. What is new is passed on to all links but the one it came by. On a
// new link the two sides exchange what differs: the dialler sends a digest (or, of a small board, all names
// and versions), the other side the names and versions of the buckets that differ, and each side then the
// records that the other lacks or holds older. Links are first in, first out. Free of I/O, clocks and chance.
//
// The promise that leases rest on: where `complete(link)` holds on the dialler's side, its board has all
// records that the other side held when it sent whatever arrives next on this link.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "gossip/messages.hpp"
#include "gossip/patch_history.hpp"
#include "gossip/record_expiry.hpp"
#include "gossip/record_renewals.hpp"
#include "gossip/record_table.hpp"
#include "nanos.hpp"

namespace granitereel::gossip {

// Which end of a link this process is. The dialler begins the exchange.
enum class Side { dialler, acceptor };

// Records are sent in messages of about so many bytes; a larger record goes alone.
constexpr std::size_t pieceBytes = 64 * 1024;

class Gossip {
public:
    using Send = std::function<void(int link, Json message)>;
    // Told of each record that is news, from whatever side.
    using OnNews = std::function<void(const std::string& name, const Record& record)>;
    Gossip(Send send, OnNews onNews) : send_(std::move(send)), onNews_(std::move(onNews)) {}

    const Board& board() const { return board_; }
    // Time passes. `inContact`: this process holds a lease of control. To be called before what happens at
    // `now` is handled, and now and then. Ends tombstones, and begins exchanges again that came to nothing.
    void advance(Nanos now, bool inContact);
    // `peer`: the process at the other end, where two may hold links to each other both ways; else empty.
    // Changes go to a peer over the accepted link, on which it asks for leases, and over the dialled one only
    // while there is no other; and never back to the peer that told them.
    void join(int link, Side side, const std::string& peer = {});
    void leave(int link);
    // Something that is no message of boards came over the link: it lives.
    void alive(int link);
    // Whether all that the peer of this link held when it sent what comes next is on this board.
    bool complete(int link) const;
    // For how long an exchange or a question that is open has brought nothing; 0: none is open.
    Nanos unansweredFor(int link) const;
    // What the peer holds is asked for anew over this link, which the caller found to lack some of it.
    void exchangeAnew(int link);
    // Whether this record was missed for so long that it may be gone; who has fresh word of it puts it anew.
    bool unconfirmed(const std::string& name) const { return lifetimes_.unconfirmed().count(name) > 0; }
    // Records of other owners that were not renewed in time: whoever holds a lease may take them down.
    std::vector<std::string> overdue() const;
    // A record of this process's own, or one heard over `from`; whether it was news.
    bool put(const std::string& name, Record record, int from = 0);
    // A message of messages.hpp; others are passed over. Throws nlohmann::json::exception where it is not of
    // its form.
    void heard(int link, const Json& message);
    // A record that only this process makes: put above whatever version stands, where its body differs, and
    // again whenever another body is heard. Its version's minor part is a hash of the body, so that two lives
    // of the owner never give one version to two bodies.
    void own(const std::string& name, const Json& body);

private:
    struct Link {
        Side side = Side::dialler;
        std::string peer;
        bool carries = true;  // whether changes go over it
        // Whether the records that the peer holds at the exchange are still to come.
        bool awaiting = true;
        std::uint64_t exchange = 0;
        std::map<std::string, Version> listed;  // of an inventory in pieces
        std::map<std::uint64_t, std::set<std::string>> wants;
        Nanos answeredAt = 0;  // something of the exchange, or its beginning
        Nanos aliveAt = 0;     // any message
    };

    void beginExchange(int link);
    void chooseCarriers();
    bool acceptedFrom(const std::string& peer) const;
    void take(int link, const News& news);
    void take(int link, const Digest& digest);
    void take(int link, const Inventory& piece);
    void take(int link, const Want& want);
    void takeUpdate(int link, const RecordUpdate& update);
    void answerInventory(int link, const Inventory& last);
    bool apply(const std::string& name, Record record, const Json* patch, Nanos age, int from);
    void tell(const RecordUpdate& update, int from);
    void sendInventory(int link, std::uint64_t exchange, std::uint64_t bucketCount,
                       const std::vector<std::uint64_t>& buckets);
    // Sends the records of these names in pieces; as patches where the peer holds the version named.
    void sendRecords(int link, const std::vector<HeldVersion>& lacking);
    void sendUnconfirmed(int link);
    void want(int link, std::vector<HeldVersion> names);
    bool wanted(const Link& link, const std::string& name) const;
    Version standing(const std::string& name) const;
    RecordUpdate whole(const std::string& name, const Record& record) const;
    RecordUpdate updateFrom(const std::string& name, const Record& record, const Version& held) const;
    void doubtAll();
    void contactRegained();
    void renewOwned();
    void settleUnconfirmed();
    void beginExchanges();
    void dropUnconfirmed();
    std::int64_t contactAge_ms() const;

    Send send_;
    OnNews onNews_;
    Board board_;
    History history_;
    Lifetimes lifetimes_;
    Renewals renewals_;
    std::map<int, Link> links_;
    std::map<std::string, Json> owned_;
    std::uint64_t lastExchange_ = 0, lastWant_ = 0;
    Nanos now_ = 0, sweptAt_ = 0, regainedAt_ = 0, askedAgainAt_ = 0;
    bool inContact_ = false;
};

}  // namespace granitereel::gossip
