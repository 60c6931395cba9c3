// TLS to stores: what is decided about handshakes and tickets; files that can't be used; and the program
// among stores that count handshakes, audited.
#include <sys/stat.h>

#include <filesystem>

#include "bench.hpp"
#include "fittings/fittings.hpp"
#include "standins/relay.hpp"
#include "standins/store.hpp"
#include "tls/handshake_limiter.hpp"
#include "tls/session_cache.hpp"
#include "tls/trust_store.hpp"

using namespace granitereel;
using standins::Audit;
using standins::Authority;
using tls::HandshakeLimiter;
using tls::HandshakePurpose;
using End_ = tls::HandshakeLimiter::Outcome;

// ---- pace and tickets -------------------------------------------------------------------------------

// Statements first, then probes, then renewals; so many at once in all, and to one store.
void turnsInOrder() {
    Nanoseconds now = milliseconds(1000);
    HandshakeLimiter pace({3, 2, 0.9, 0}, now);
    const auto renewal = pace.enqueue("a", HandshakePurpose::renewal, 0, now),
               probe = pace.enqueue("b", HandshakePurpose::probe, 0, now);
    const auto first = pace.enqueue("a", HandshakePurpose::statement, 0, now),
               second = pace.enqueue("a", HandshakePurpose::statement, 0, now);
    const auto third = pace.enqueue("a", HandshakePurpose::statement, 0, now);
    assert(pace.startNext(now) == first && pace.startNext(now) == second);
    assert(pace.startNext(now) == probe);  // a has two
    assert(!pace.startNext(now));
    pace.finish(first, End_::full, milliseconds(1), now);
    assert(pace.startNext(now) == third);
    pace.release(second), pace.release(third);
    assert(pace.startNext(now) == renewal && pace.inFlightCount() == 2 && pace.waitingCount() == 0);
}

// A storm of a thousand takes its share of the processor and no more, however many may be under way.
void stormsKeepToTheirShare() {
    Nanoseconds now = milliseconds(1000);
    const Nanoseconds begun = now, cost = milliseconds(2);
    HandshakeLimiter pace({64, 64, 0.25, 0}, now);
    for (int i = 0; i < 1000; ++i)
        pace.enqueue("s" + std::to_string(i % 7), HandshakePurpose::statement, 0, now);
    Nanoseconds spent = 0;
    while (pace.waitingCount() > 0) {
        while (const auto turn = pace.startNext(now)) {
            pace.finish(*turn, End_::full, cost, now);
            spent += cost;
        }
        assert(pace.waitingCount() == 0 || (pace.nextStartAt() && *pace.nextStartAt() > now));
        if (pace.nextStartAt()) now = *pace.nextStartAt();
        assert(double(spent) < 0.25 * double(now - begun + milliseconds(100)) + 10 * double(cost));
    }
    assert(double(spent) > 0.2 * double(now - begun));  // and it gets that share
}

// Renewals leave half of the purse to statements.
void renewalsLeaveRoom() {
    Nanoseconds now = milliseconds(1000);
    HandshakeLimiter pace({64, 64, 0.1, 0}, now);
    for (int i = 0; i < 64; ++i) pace.enqueue("a", HandshakePurpose::renewal, 0, now);
    int begun = 0;
    while (const auto turn = pace.startNext(now))
        pace.finish(*turn, End_::full, milliseconds(1), now), ++begun;
    assert(begun >= 4 && begun <= 6);
    const auto statement = pace.enqueue("b", HandshakePurpose::statement, 0, now);
    assert(pace.startNext(now) == statement);
}

// A store that can't be trusted is spared for longer and longer; one that breaks is the decisions' matter.
void untrustedStoresAreSpared() {
    Nanoseconds now = milliseconds(1000);
    HandshakeLimiter pace({}, now);
    Nanoseconds last = 0;
    for (int i = 0; i < 9; ++i) {
        const auto turn = pace.enqueue("a", HandshakePurpose::statement, 0, now);
        assert(pace.startNext(now) == turn);
        pace.finish(turn, End_::untrusted, milliseconds(1), now);
        Nanoseconds spared = 0;
        while (pace.isBackedOff("a", now + spared)) spared += milliseconds(100);
        assert(spared >= last && spared >= milliseconds(1000) && spared <= milliseconds(60'000));
        assert(!pace.isBackedOff("b", now));
        last = spared;
        now += spared;
    }
    assert(last == milliseconds(60'000));
    auto turn = pace.enqueue("a", HandshakePurpose::statement, 0, now);
    assert(pace.startNext(now) == turn);
    pace.finish(turn, End_::connectionFailed, milliseconds(1), now);
    assert(!pace.isBackedOff("a", now));
    turn = pace.enqueue("a", HandshakePurpose::statement, 0, now);
    assert(pace.startNext(now) == turn);
    pace.finish(turn, End_::resumed, milliseconds(1), now);
    turn = pace.enqueue("a", HandshakePurpose::statement, 0, now);
    assert(pace.startNext(now) == turn);
    pace.finish(turn, End_::untrusted, milliseconds(1), now);
    assert(pace.isBackedOff("a", now + milliseconds(900)) &&
           !pace.isBackedOff("a", now + milliseconds(1100)));  // from the start again
}

// A store that has just started gets one handshake at a time.
void coldStoresGetOneAtATime() {
    Nanoseconds now = milliseconds(100'000);
    HandshakeLimiter pace({16, 4, 0.9, milliseconds(15'000)}, now);
    for (int i = 0; i < 3; ++i)
        pace.enqueue("cold", HandshakePurpose::statement, now - milliseconds(5000), now);
    const auto turn = pace.startNext(now);
    assert(turn && !pace.startNext(now));
    pace.release(*turn);
    assert(pace.startNext(now + milliseconds(11'000)) &&
           pace.startNext(now + milliseconds(11'000)));  // warm by now
}

// The store used last first, one at a time to each, two at once unless the time is short; done when none is
// old.
void renewalsInOrder() {
    tls::ConnectionRenewal renewal(milliseconds(30'000));
    Nanoseconds now = milliseconds(1'000'000);
    std::map<std::string, Nanoseconds> old{{"a", now - 3}, {"b", now - 1}, {"c", now - 2}};
    assert(!renewal.startNext(old, 3, now));
    renewal.start(now);
    assert(renewal.startNext(old, 3, now) == "b" && renewal.startNext(old, 3, now) == "c" &&
           !renewal.startNext(old, 3, now));
    renewal.finish("b", milliseconds(20));
    assert(renewal.startNext(old, 3, now) == "b");  // it has another, used since
    renewal.finish("b", milliseconds(20)), renewal.finish("c", milliseconds(20));
    for (int i = 0; i < 50; ++i) old["s" + std::to_string(i)] = now;
    int atOnce = 0;
    while (renewal.startNext(old, 5000, now + milliseconds(10'000))) ++atOnce;
    assert(atOnce > 10 && !renewal.isOverdue(now + milliseconds(29'000)) &&
           renewal.isOverdue(now + milliseconds(30'000)));
    for (const auto& [store, at] : old) renewal.finish(store, milliseconds(20));
    assert(!renewal.startNext({}, 0, now) && !renewal.isActive());
}

// Each ticket is used once, the newest first; none by another name or under other trust, none too old.
void ticketsAreUsedOnce() {
    tls::SessionCache tickets(3, 100'000);
    const auto handle = [](int n) { return std::make_shared<int>(n); };
    const auto number = [](const tls::SessionCache::Handle& held) {
        return held ? *static_cast<int*>(held.get()) : 0;
    };
    for (int i = 1; i <= 5; ++i) tickets.insert("a", "name", 1, handle(i), 2000, milliseconds(1000));
    assert(tickets.count() == 3);
    assert(number(tickets.popNewest("a", "name", 1, 0)) == 5 &&
           number(tickets.popNewest("a", "name", 1, 0)) == 4);
    assert(number(tickets.popNewest("b", "name", 1, 0)) == 0);
    assert(number(tickets.popNewest("a", "other", 1, 0)) == 0 && tickets.count() == 0);  // of no use any more
    tickets.insert("a", "name", 1, handle(6), 2000, milliseconds(1000));
    assert(number(tickets.popNewest("a", "name", 2, 0)) == 0);
    tickets.insert("a", "name", 1, handle(7), 2000, milliseconds(1000));
    assert(number(tickets.popNewest("a", "name", 1, milliseconds(1000))) == 0);
    for (int i = 0; i < 100'000; ++i)
        tickets.insert("s" + std::to_string(i % 5000), "name", 1, handle(i), 2000, milliseconds(1000));
    assert(tickets.bytes() <= 100'000 && tickets.count() > 30);
    tickets.clear();
    assert(tickets.count() == 0 && tickets.bytes() == 0);
}

// ---- the program ------------------------------------------------------------------------------------

struct Folder {
    std::filesystem::path path;
    Folder() {
        char name[] = "/tmp/granitereel-tls-XXXXXX";
        assert(::mkdtemp(name));
        path = name;
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string write(const std::string& name, const std::string& content, mode_t mode = 0600) const {
        const std::filesystem::path file = path / name;
        // As operators do: a whole file takes the place of the old one.
        std::ofstream(file.string() + "~") << content;
        ::chmod((file.string() + "~").c_str(), mode);
        std::filesystem::rename(file.string() + "~", file);
        return file.string();
    }
};

// A primary and a replica that seal their connections, and a front that trusts their authority.
struct Site {
    Folder folder;
    Authority authority{"halls"};
    Audit audit;
    standins::Store primary{"primary", audit}, replica{"replica", audit};
    Stage stage{Stage::Later{}};
    int asked = 0;
    std::vector<std::string> ids;

    explicit Site(const std::string& more = "") {
        folder.write("trust.pem", authority.certificate());
        primary.seal(authority.issue("p"));
        replica.seal(authority.issue("r"));
        fit(more);
        stage.known =
            Stage::list(41, true, entry("p", primary, "primary") + "," + entry("r", replica, "replica"));
        stage.options = {"--fittings", (folder.path / "front.textproto").string()};
    }
    std::string entry(const std::string& name, const standins::Store& store, const std::string& role) const {
        return stage.entry(name, store.place(), "Ready", role);
    }
    void fit(const std::string& more) const {
        folder.write("front.textproto", "tls_to_stores { trust: 'trust.pem' " + more + "}");
    }
    Site& begin(int sockets = 1024, bool probes = false) {
        stage.begin(probes, sockets);
        return *this;
    }
    void reload() const { ::kill(stage.program, SIGHUP); }
    End client() const {
        End client = stage.client();
        client.hello();
        return client;
    }
    std::string ask(End& client, const std::string& lane, int d = 3000) {
        const std::string id = lane + std::to_string(++asked);
        ids.push_back(id);
        client.ask(statement(id, lane, d));
        const std::string said = client.answer();
        audit.answered(id, said);
        return said;
    }
    bool served(End& client, const std::string& lane) {
        const std::string said = ask(client, lane);
        return said == "for " + ids.back();
    }
    void check() const {
        audit.check(ids, [](const std::string& id) { return id.starts_with("pay"); });
    }
};

// Clients on threads ask while `change` is made; every transaction is audited.
void flood(Site& site, const std::function<void()>& change) {
    constexpr int clients = 6, each = 150;
    std::vector<std::thread> threads;
    std::atomic<int> done{0}, served{0};
    std::vector<std::string> ids;
    for (int c = 0; c < clients; ++c) {
        for (int i = 0; i < each; ++i)
            ids.push_back((i % 3 == 0 ? "pay" : "look") +
                          ("-" + std::to_string(c) + "-" + std::to_string(i)));
        threads.emplace_back([&, c] {
            End client = site.client();
            for (int i = 0; i < each; ++i) {
                const std::string lane = i % 3 == 0 ? "pay" : "look";
                const std::string id = lane + "-" + std::to_string(c) + "-" + std::to_string(i);
                client.ask(statement(id, lane));
                const std::string said = client.answer();
                site.audit.answered(id, said);
                served += said == "for " + id;
                ++done;
            }
        });
    }
    while (done < clients * each / 3) std::this_thread::yield();
    change();
    for (std::thread& thread : threads) thread.join();
    assert(served == clients * each);
    site.audit.check(ids, [](const std::string& id) { return id.starts_with("pay"); });
}

// Sealed from the first byte on, then taken up again by tickets; both ways to begin, and TLS 1.2.
void sealsAndResumes() {
    for (const std::string more :
         {"", "direct: true", "oldest_version: TLS_1_2", "expected_name: 'x{group}y'"}) {
        Site site(more);
        standins::Store::Ways ways;
        ways.direct = more == "direct: true";
        ways.tls13 = more != "oldest_version: TLS_1_2";
        ways.tls12 = !ways.tls13;
        site.primary.behave(ways);
        site.replica.behave(ways);
        if (more.starts_with("expected")) site.replica.seal(site.authority.issue("x3y"));
        site.begin();
        End client = site.client();
        for (int i = 0; i < 5; ++i) {
            assert(site.served(client, "look"));
            const int connections = site.replica.connections();
            site.replica.cutAll();  // the next needs a new connection
            site.replica.until([&] { return site.replica.open() == 0; });
            assert(connections == i + 1);
        }
        // With TLS 1.2 a session that is taken up again brings no new ticket, and each is used once.
        assert(site.replica.full() == (ways.tls12 ? 3 : 1) && site.replica.resumed() == (ways.tls12 ? 2 : 4));
        site.check();
    }
}

// Whoever is not who it should be gets no statement; reads go elsewhere, writes are told, the log says why
// once.
void refusesWhoIsNotTrusted() {
    Authority strangers("strangers"), middle("middle", nullptr);
    struct Case {
        std::string what, told;
        std::function<void(Site&)> wrong;
        std::string shows = "; subject CN=r,";
    };
    const auto issued = [](const Authority::Wish& wish) {
        return [wish](Site& site) { site.replica.seal(site.authority.issue(wish)); };
    };
    const auto behaving = [](auto change) {
        return [change](Site& site) {
            standins::Store::Ways ways;
            change(ways);
            site.replica.behave(ways);
        };
    };
    const std::vector<Case> cases = {
        {"other name", "hostname mismatch", issued({"q"}), "; subject CN=q,"},
        {"the primary's own", "hostname mismatch", issued({"p"}), "; subject CN=p,"},
        {"common name alone", "hostname mismatch", issued({"r", -3600, 3600, "serverAuth", true})},
        {"run out", "certificate has expired", issued({"r", -3600, -60})},
        {"not yet good", "certificate is not yet valid", issued({"r", 3600, 7200})},
        {"wrong usage", "unsuitable certificate purpose", issued({"r", -3600, 3600, "clientAuth"})},
        {"signed by itself", "self-signed certificate",
         [](Site& site) { site.replica.seal(site.authority.selfSigned("r")); }},
        {"unknown authority", "unable to get local issuer certificate",
         [&](Site& site) { site.replica.seal(strangers.issue("r")); }},
        {"revoked", "certificate revoked",
         [](Site& site) {
             const auto bad = site.authority.issue("r");
             site.replica.seal(bad);
             site.folder.write("revoked.pem", site.authority.revoke({bad.certificate}));
             site.fit("revoked: 'revoked.pem'");
         }},
        {"chain too deep", "certificate chain too long",
         [](Site& site) {
             auto one = std::make_shared<Authority>("one", &site.authority);
             Authority two("two", one.get()), three("three", &two);
             site.replica.seal(three.issue("r"), "",
                               three.certificate() + two.certificate() + one->certificate());
         }},
        {"N", "does not do TLS", behaving([](auto& ways) { ways.insteadOfS = "N"; }), "; no certificate"},
        {"plain text behind S", "plain text behind its consent to TLS",
         behaving([](auto& ways) { ways.insteadOfS = "SZ"; }), "; no certificate"},
        {"an error", "neither S nor N to the request for TLS",
         behaving([](auto& ways) { ways.insteadOfS = "E"; }), "; no certificate"},
        {"TLS 1.2 alone", "tlsv1 alert protocol version",
         behaving([](auto& ways) { ways.tls12 = true, ways.tls13 = false; }), "; no certificate"},
    };
    for (const Case& each : cases) {
        Site site;
        each.wrong(site);
        site.begin();
        End client = site.client();
        for (int i = 0; i < 3; ++i) assert(site.served(client, "look"));  // by the primary
        assert(site.audit.delivered() == 3 && site.replica.statements() == 0);
        site.stage.logged("TLS: store r refused: " + each.told + each.shows);
        site.check();
    }
}

// Stalls and resets at each step of the handshake: nothing ran, so even a one-shot goes again or is nacked.
void breaksInTheHandshake() {
    for (int step = 1; step <= 3; ++step)
        for (const bool stalls : {true, false}) {
            Site site;
            standins::Store::Ways ways;
            (stalls ? ways.stallAt : ways.resetAt) = step;
            site.primary.behave(ways);
            site.begin();
            End client = site.client();
            assert(site.ask(client, "pay", 900).starts_with("53300") && site.primary.statements() == 0);
            assert(site.served(client, "look"));
            site.check();
        }
}

// A refused ticket falls back to a full handshake on the same connection. Hundreds of tickets are no harm.
void ticketsRefusedAndTooMany() {
    Site site;
    standins::Store::Ways ways;
    ways.forgetTickets = true;
    ways.ticketsEach = 300;
    site.replica.behave(ways);
    site.begin();
    End client = site.client();
    for (int i = 0; i < 3; ++i) {
        assert(site.served(client, "look") && site.served(client, "look"));
        site.replica.cutAll();
        site.replica.until([&] { return site.replica.open() == 0; });
    }
    assert(site.replica.full() == 3 && site.replica.resumed() == 0 && site.replica.connections() == 3);
    site.check();
}

// Half an answer and the end, with no good-bye: never delivered. A read goes elsewhere, a one-shot is written
// off.
void truncatedAnswers() {
    Site site;
    standins::Store::Ways ways;
    ways.cutInAnswer = true;
    site.replica.behave(ways);
    site.begin();
    End client = site.client();
    assert(site.served(client, "look") && site.replica.statements() == 1);
    site.primary.behave(ways);
    assert(site.ask(client, "pay", 900) == "40003" && site.audit.launches(site.ids.back()) == 1);
    site.check();
}

// Records that come a byte at a time, and ones that are cut at every byte: whole or not at all, whichever
// way. The read goes to the primary then; a one-shot is written off, and never launched twice.
void recordsCutAnywhere() {
    Site site;
    standins::Relay toReplica(site.replica.place().port), toPrimary(site.primary.place().port);
    site.stage.known = Stage::list(41, true,
                                   site.stage.entry("p", toPrimary.place(), "Ready", "primary") + "," +
                                       site.stage.entry("r", toReplica.place(), "Ready", "replica"));
    toReplica.byteByByte = toPrimary.byteByByte = true;
    site.begin(1024, true);  // so that what broke is tried again at once
    End client = site.client();
    assert(site.served(client, "look") && site.served(client, "pay"));
    toReplica.byteByByte = toPrimary.byteByByte = false;
    // An answer is a record of 5 bytes for its head, its content, and 17 more.
    int whole = 0, cut = 0;
    for (int n = 0; n < 160; n += 3) {
        // Until the replica is back and was the one that served.
        for (const int before = site.replica.launches(); site.replica.launches() == before;)
            assert(site.served(client, "look"));
        toReplica.breaksAfter = n;
        assert(site.served(client, "look"));
        const bool broke = toReplica.breaksAfter < 0;
        toReplica.breaksAfter = -1;
        ++(broke ? cut : whole);
    }
    assert(cut > 20 && whole > 3);
    for (int n = 0; n < 60; n += 20) {
        for (std::string said; !said.starts_with("for ");) said = site.ask(client, "pay", 900);
        toPrimary.breaksAfter = n;
        assert(site.ask(client, "pay", 900) == "40003" && site.audit.launches(site.ids.back()) == 1);
    }
    site.check();
}

// Names that are not the store's id: its address, and what the list calls it; the list may change it.
void otherNames() {
    Site site("expected_name: '{address}'");
    site.replica.seal(site.authority.issue("127.0.0.1"));
    site.begin();
    End client = site.client();
    assert(site.served(client, "look") && site.replica.launches() == 1 && site.primary.launches() == 0);
    site.check();

    Site other("expected_name: '{listed}.halls'");
    std::string named = other.entry("r", other.replica, "replica");
    named.insert(named.size() - 1, ",\"tls_name\":\"north\"");
    other.stage.known = Stage::list(41, true, named);
    other.replica.seal(other.authority.issue("north.halls"));
    other.begin();
    End second = other.client();
    assert(other.served(second, "look") && other.replica.launches() == 1);
    other.check();
}

// Where the list names none, no certificate will do, least of all another's of the same domain; a store whose
// name looks like a placeholder is taken by the letter.
void namesThatAreMissing() {
    for (const std::string name : {"", "{listed}"}) {
        Site site("expected_name: '{listed}.halls'");
        std::string named = site.entry("p", site.primary, "primary");
        named.insert(named.size() - 1, ",\"tls_name\":\"south\"");
        std::string odd = site.entry("r", site.replica, "replica");
        odd.insert(odd.size() - 1, ",\"tls_name\":\"" + name + "\"");
        site.stage.known = Stage::list(41, true, named + "," + odd);
        site.primary.seal(site.authority.issue("south.halls"));
        site.replica.seal(site.authority.issue("east.halls"));
        site.begin();
        End client = site.client();
        assert(site.served(client, "look") && site.served(client, "look"));
        assert(site.replica.launches() == 0);
        site.check();
    }
}

// SIGHUP again and again, with other files each time, while the renewal of the one before runs under load.
void rotationsThatOverlap() {
    Site site("pace { renew_within_seconds: 2 }");
    site.begin();
    flood(site, [&] {
        for (int i = 0; i < 4; ++i) {
            site.folder.write("trust.pem", site.authority.certificate() + Authority("next").certificate());
            site.reload();
            site.stage.logged("TLS: new certificates and terms hold");
        }
    });
    site.stage.logged("TLS: all connections are renewed");
}

// Trust that leaves nothing in common: no store gets a statement, clients are told at once, and all is well
// again soon after the old trust is back.
void trustWithoutOverlap() {
    Site site("pace { renew_within_seconds: 1 }");
    site.begin();
    End client = site.client();
    assert(site.served(client, "look") && site.served(client, "pay"));
    site.folder.write("trust.pem", Authority("strangers").certificate());
    site.reload();
    site.stage.logged("TLS: new certificates and terms hold");
    site.stage.logged("TLS: all connections are renewed");
    const int ran = site.primary.statements() + site.replica.statements();
    assert(site.ask(client, "look", 500).starts_with("53300"));
    assert(site.ask(client, "pay", 500).starts_with("53300"));
    assert(site.primary.statements() + site.replica.statements() == ran);
    site.folder.write("trust.pem", site.authority.certificate());
    site.reload();
    site.stage.logged("TLS: new certificates and terms hold");
    for (std::string said; !said.starts_with("for ");) said = site.ask(client, "pay", 3000);
    site.check();
}

// A store that keeps what it was sent: call-back and cut-off hold under TLS as without.
void timesHold() {
    Site site;
    standins::Store::Ways ways;
    ways.stallInAnswer = true;
    site.primary.behave(ways);
    site.replica.behave(ways);
    site.begin();
    End client = site.client();
    assert(site.ask(client, "pay", 700) == "40003");
    site.primary.until([&] { return site.primary.open() == 0; });  // closed with it
    site.check();
}

// New certificates at the stores, new trust that holds the old and the new, the front's own certificate,
// twice in a row: no transaction is lost, all connections are renewed, tickets of before are not used.
void rotationUnderLoad() {
    Authority next("next");
    Site site("pace { renew_within_seconds: 5 }");
    const auto own = site.authority.issue(Authority::Wish{"front", -3600, 3600, "clientAuth"});
    site.folder.write("own.pem", own.certificate);
    site.folder.write("own.key", own.key);
    const std::string more = "certificate: 'own.pem' key: 'own.key' pace { renew_within_seconds: 5 }";
    site.fit(more);
    site.primary.seal(site.authority.issue("p"), site.authority.certificate() + next.certificate());
    site.replica.seal(site.authority.issue("r"), site.authority.certificate() + next.certificate());
    standins::Store::Ways ways;
    ways.takes = std::chrono::milliseconds(2);
    site.primary.behave(ways);
    site.replica.behave(ways);
    site.begin();
    flood(site, [&] {
        site.folder.write("trust.pem", site.authority.certificate() + next.certificate());
        site.reload();
        site.stage.logged("TLS: new certificates and terms hold");
        // A store trusts both until every connection was made with the new certificate: a handshake may be
        // under way at any moment.
        site.primary.seal(next.issue("p"), site.authority.certificate() + next.certificate());
        const auto renewed = next.issue(Authority::Wish{"front", -3600, 3600, "clientAuth"});
        site.folder.write("own.pem", renewed.certificate);
        site.folder.write("own.key", renewed.key);
        site.reload();
        site.stage.logged("TLS: new certificates and terms hold");
        site.replica.seal(next.issue("r"), site.authority.certificate() + next.certificate());
    });
    site.stage.logged("TLS: all connections are renewed");
    assert(site.primary.full() >= 2);
    assert(site.primary.refused() == 0);
    assert(site.replica.refused() == 0);
    // From here on the stores take the new certificate alone.
    site.primary.seal(next.issue("p"), next.certificate());
    site.replica.seal(next.issue("r"), next.certificate());
    // Trust that holds the old one alone no more: the stores' new certificates are still good.
    site.folder.write("trust.pem", next.certificate());
    site.reload();
    site.stage.logged("TLS: new certificates and terms hold");
    site.stage.logged("TLS: all connections are renewed");
    End client = site.client();
    assert(site.served(client, "look") && site.served(client, "pay"));
    assert(site.primary.refused() == 0);
    assert(site.replica.refused() == 0);
}

// Files that can't be used change nothing, whatever is wrong with them, and traffic goes on.
void badFilesChangeNothing() {
    Site site;
    site.begin();
    End client = site.client();
    assert(site.served(client, "look"));
    const std::string good = site.authority.certificate();
    const auto one = site.authority.issue("front"), other = site.authority.issue("front");
    site.folder.write("own.pem", one.certificate);
    site.folder.write("open.key", one.key, 0644);
    site.folder.write("other.key", other.key);
    site.folder.write("late.pem", site.authority.issue(Authority::Wish{"front", -3600, -10}).certificate);
    const auto refused = [&](const std::string& fit, const std::string& trust, const std::string& why) {
        site.fit(fit);
        site.folder.write("trust.pem", trust);
        site.reload();
        site.stage.logged(why);
        site.replica.cutAll();
        site.replica.until([&] { return site.replica.open() == 0; });
        assert(site.served(client, "look"));
    };
    refused("", good.substr(0, good.size() / 2), "trust.pem: entry 1: ");
    refused("", good + good.substr(0, good.size() - 40), "trust.pem: entry 2: ");
    refused("", "", "trust.pem: holds no certificate");
    refused("certificate: 'own.pem' key: 'other.key'", good, "does not belong to");
    refused("certificate: 'own.pem' key: 'open.key'", good, "open.key: others may read it");
    refused("certificate: 'late.pem' key: 'other.key'", good, "late.pem: not good now");
    refused("certificate: 'own.pem'", good, ":1:36: certificate: a certificate and its key");
    refused("trust: 'twice'", good, "specified multiple times");
    refused("revoked: 'none.pem'", good, "none.pem: can't be read");
    site.fit("");
    site.reload();
    site.stage.logged("TLS: nothing new");
    ::kill(site.stage.program, SIGTERM);
    site.reload();  // on the way out, too
    site.stage.logged("TLS: nothing new");
    client.close();
    assert(site.stage.exitCode() == 0);
    assert(site.replica.full() == 1);  // its tickets were good all along
    site.check();
}

// Few descriptors while everything is renewed: no transaction is lost for want of one.
void renewsWithFewDescriptors() {
    Site site("pace { renew_within_seconds: 3 }");
    site.begin(64);
    flood(site, [&] {
        site.folder.write("trust.pem", site.authority.certificate() + Authority("next").certificate());
        site.reload();
    });
    site.stage.logged("TLS: all connections are renewed");
}

// What is wrong in the settings file is told with its line and column.
void misfits() {
    Folder folder;
    const auto fault = [&](const std::string& text) -> std::string {
        const std::string file = folder.write("f", text);
        try {
            readFittings(file);
        } catch (const Misfit& wrong) {
            return std::string(wrong.what()).substr(file.size() + 1);
        }
        return "none";
    };
    assert(fault("") == "none" && fault("tls_to_stores { trust: 'a' }") == "none");
    assert(fault("\n  tsl { }").starts_with("2:7: "));
    assert(fault("tls_to_stores {\n trust: 'a'\n trust: 'b' }").starts_with("3:"));
    assert(fault("tls_to_stores { }").find("trust") != std::string::npos);
    assert(fault("tls_to_stores { trust: 'a'").starts_with("1:"));
    assert(fault("tls_to_stores {\n trust: 'a'\n  longest_chain: 9 }").starts_with("3:3: longest_chain: 9"));
    assert(fault("tls_to_stores { trust: 'a' pace { at_once: 0 } }").find("at_once: 0") != std::string::npos);
    assert(fault("tls_to_stores { trust: 'a' pace { at_once: 2 } }").starts_with("1:35: at_once: to one"));
    assert(fault("tls_to_stores { trust: 'a' expected_name: '{shop}' }").find("'{shop}'") !=
           std::string::npos);
    assert(fault("tls_to_stores { trust: 'a' expected_name: '' }").find("is empty") != std::string::npos);
    assert(fault("tls_to_stores { trust: 'a' direct: true oldest_version: TLS_1_2 }").find("1.3 alone") !=
           std::string::npos);
    assert(fault("tls_to_stores { trust: 'a' longest_chain: -1 }").starts_with("1:"));
}

int main() {
    turnsInOrder();
    stormsKeepToTheirShare();
    renewalsLeaveRoom();
    untrustedStoresAreSpared();
    coldStoresGetOneAtATime();
    renewalsInOrder();
    ticketsAreUsedOnce();
    misfits();
    sealsAndResumes();
    refusesWhoIsNotTrusted();
    breaksInTheHandshake();
    ticketsRefusedAndTooMany();
    truncatedAnswers();
    recordsCutAnywhere();
    otherNames();
    namesThatAreMissing();
    rotationsThatOverlap();
    trustWithoutOverlap();
    timesHold();
    rotationUnderLoad();
    badFilesChangeNothing();
    renewsWithFewDescriptors();
}
