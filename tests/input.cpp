// What comes in malformed: to the parsers, and to the program that runs.
#include "bench.hpp"
#include "wire/http.hpp"
#include "wire/statement.hpp"
#include "wire/stores.hpp"

using namespace granitereel;

template <class Fault, class Call>
bool throws(Call call) {
    try {
        call();
    } catch (const Fault&) {
        return true;
    }
    return false;
}

void bodiesSplitAnywhere() {
    const std::string head = "HTTP/1.1 200 OK\r\ntransfer-ENCODING:  Chunked \r\n\r\n";
    const std::string chunks = "5;x=1\r\nhello\r\nA\r\n 2 3\n4 5 6\r\n0\r\nTrailer: 1\r\n\r\n";
    for (std::size_t step = 1; step <= chunks.size(); ++step) {
        http::Body body(head);
        std::string content;
        for (std::size_t at = 0; at < chunks.size(); at += step) {
            assert(!body.ended());
            body.feed(std::string_view(chunks).substr(at, step), content);
        }
        assert(content == "hello 2 3\n4 5 6" && body.ended());
    }
    http::Body sized("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
    std::string content;
    sized.feed("abcdef", content);
    assert(content == "abc" && sized.ended());
}

void heads() {
    const std::string head = "HTTP/1.1 503 Busy\r\nA: b\r\n\r\n";
    for (std::size_t n = 0; n < head.size(); ++n) assert(http::headLength(head.substr(0, n)) == 0);
    assert(http::headLength(head + "rest") == head.size() && http::statusOf(head) == 503);
    assert(throws<http::Garbled>([] { http::headLength(std::string(http::longestHead, 'x')); }));
    for (const char* wrong : {"", "HTTP/1.1", "HTTP/1.1 2x0 \r\n", "SIP/2.0 200 OK\r\n"})
        assert(throws<http::Garbled>([&] { http::statusOf(wrong); }));
    for (const char* wrong : {"x\r\n", "\r\n", "-1\r\n", "FFFFFFFFFFFFFFFFF\r\n", "2\r\nabc\r\n"})
        assert(throws<http::Garbled>([&] {
            std::string content;
            http::Body("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").feed(wrong, content);
        }));
}

void statements() {
    auto form = [](std::string_view text) {
        bool whole = false;
        std::string names;
        const auto sql = readMarks(
            text, [&](auto name, auto value) { names += std::string(name) + "=" + std::string(value) + ";"; },
            whole);
        const auto key = keyOf(sql, sql.find("INSERT") != sql.npos);
        return whole && key ? names + std::string(*key) : "";
    };
    assert(form(" /* id=1, c=look */ SELECT val FROM state WHERE uid = 'k'") == "id=1;c=look;k");
    assert(form("/*id=1*/INSERT INTO state (uid, val) VALUES ('k', '\\x00') RETURNING val;") == "id=1;k");
    const std::string read = "SELECT val FROM state WHERE uid = 'k'";
    assert(!keyOf(read, true) && keyOf(read, false) == "k");
    for (const char* wrong :
         {"", "SELECT 1", "/* id=1 SELECT", "/* id */ SELECT val FROM state WHERE uid = 'k'",
          "/* =1 */ SELECT val FROM state WHERE uid = 'k'", "/* id=1 */ DROP TABLE 'k'", "/* id=1 */",
          "/* id=1,, */ SELECT val FROM state WHERE uid = 'k'", "/* id=1 */ SELECT 'k'", "/* id=1 *",
          "/* id=1 */ SELECT val FROM state WHERE uid = 'k",
          "/* id=1 */ SELECT val FROM state WHERE uid = ''",
          "/* id=1 */ SELECT val FROM state WHERE uid = 'k'; SELECT 'l'",
          "/* id=1 */ INSERT INTO state (uid, val) VALUES ('k', '\\x0') RETURNING val",
          "/* id=1 */ INSERT INTO state (uid, val) VALUES ('k', '\\xgg') RETURNING val",
          "/* id=1 */ INSERT INTO state (uid, val) VALUES ('k', '\\x00')"})
        assert(form(wrong).empty());
    assert(!keyOf(
        "INSERT INTO state (uid, val) VALUES ('k', '\\x" + std::string(131'074, '0') + "') RETURNING val",
        true));
}

void messages() {
    using namespace postgres;
    std::string row = End::row("value");
    for (std::size_t n = 0; n < 5; ++n) assert(messageLength(row.substr(0, n)) == 0);
    for (const char* lying : {"D\0\0\0\3", "D\xff\xff\xff\xff", "D\0\x7f\0\0"})
        assert(throws<Garbled>([&] { messageLength(std::string(lying, 5)); }));
    assert(throws<Garbled>([] { startupLength(std::string("\0\0\0\7", 4)); }));
    assert(throws<Garbled>([] { startupLength("GET / HTTP/1.1"); }));
    for (const std::string& wrong :
         {std::string(), std::string("\0\2\0\0\0\0", 6), std::string("\0\1\0\0\0\7ab", 8),
          std::string("\0\1\xff\xff\xff\xff", 6)})
        assert(!onlyColumn(wrong));
    assert(!describesOne("") && !describesOne(std::string(21, '\0')));
    assert(!mayBecomeAnswer("!") && !mayBecomeAnswer(std::string("S\0\1\0\0", 5)) && mayBecomeAnswer(row));
    row = row.substr(row.find('D'), 12);
    assert(mayBecomeAnswer(row));
    ++row[10];  // the column is said to be longer than the row
    assert(mayBecomeAnswer(row.substr(0, 10)) && !mayBecomeAnswer(row));
    for (const std::string& wrong : {std::string("Cno end"), std::string("C53300\0", 7), std::string()})
        assert(throws<Garbled>([&] { errorField(wrong, 'C'); }));
    assert(errorField(std::string_view("SERROR\0C53300\0\0", 15), 'C') == "53300");
}

void reports() {
    const Nanoseconds now = milliseconds(1'767'225'600'000);
    const StoreReport good = readReport("inflight=7,x0=1767225599.5,x1=1", now);
    assert(good.position == now - milliseconds(500) && good.primary == true);
    for (const char* wrong : {"", "x0", "x0=", "x0=inf,x1=nan", "x0=-1", "x0=1e300", "x0=1767225700", "=,=,,",
                              "x0=1767225599,x1=?", "x1=1,x0=1767225700", "x0=1767225599,\xff"}) {
        const StoreReport report = readReport(wrong, now);
        assert(!report.position && !report.primary);
    }
}

// What has come in never takes more than the budget, and gives back what it took.
void memoryIsBounded() {
    Budget budget(20'000);
    {
        Inbox inbox(budget);
        assert(inbox.room(10'000).size() >= 10'000);
        inbox.filled(10'000);
        const Claim claim(budget, 9'000), refused(budget, 9'000);
        assert(claim && !refused && inbox.room(15'000).empty());
        inbox.use(9'990);
        assert(inbox.unread().size() == 10 && inbox.room(9'000).size() >= 8'990);
        inbox.use(10);
        assert(budget.take(10'000));
        budget.give(10'000);
    }
    assert(budget.take(20'000) && !budget.take(1));
}

// Each client that speaks nonsense gets its error, none of it reaches a store, and others are served.
void clientsThatSpeakNonsense() {
    Stage stage;
    auto told = [&](const std::string& bytes) {
        End client = stage.client();
        client.hello().send(bytes);
        const std::string code = client.answer();
        assert(client.ended());
        return code;
    };
    assert(told(std::string("Q\0\0\0\2", 5)) == "08P01");          // a lying length
    assert(told(std::string("Q\x7f\xff\xff\xff", 5)) == "08P01");  // an oversized one
    assert(told(std::string("Q\0\0\0\6ab", 7)) == "08P01");        // text without an end
    assert(told(std::string("P\0\0\0\x8"
                            "a\0b\0",
                            9)) == "0A000");  // the extended protocol
    for (const std::string& startup : {std::string("\0\0\0\x08\0\2\0\0", 8), std::string("\0\0\0\1xxxx", 8),
                                       std::string("GET / HTTP/1.1\r\n\r\n")}) {
        End client = stage.client();
        client.send(startup);
        assert(client.answer() == "08P01" && client.ended());
    }
    End cancels = stage.client();
    cancels.send(std::string("\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0", 16));
    assert(cancels.ended());
    End half = stage.client();  // says half a message, and no more
    half.hello().send(std::string("Q\0\0\1\0/*", 7));

    End client = stage.client();
    client.hello();
    const std::string sql = " */ SELECT val FROM state WHERE uid = 'key'";
    for (const std::string& wrong :
         {std::string("SELECT 1"), "/* c=look,d=100,cluster=3" + sql, "/* id=a,d=100,cluster=3" + sql,
          "/* id=a,c=look,cluster=3" + sql, "/* id=a,c=look,d=100" + sql,
          "/* id=a,c=look,d=-1,cluster=3" + sql, "/* id=a,c=look,d=1e9,cluster=3" + sql,
          "/* id=a,c=look,d=99999999999999999999,cluster=3" + sql,
          "/* id=a,c=recent,d=100,cluster=3,after=x" + sql,
          std::string("/* id=a,c=look,d=100,cluster=3 */ DROP TABLE state")}) {
        client.ask(wrong);
        assert(client.answer() == "08P01");
    }
    for (const std::string& unknown :
         {"/* id=a,c=what,d=100,cluster=3" + sql, "/* id=a,c=look,d=100,cluster=4" + sql}) {
        client.ask(unknown);
        assert(client.answer() == "22023");
    }
    assert(!stage.replica.called() && !stage.primary.called());
    client.ask(statement("b", "look"));
    End store = stage.replica.accept();
    store.welcome().asked();
    // The same id again while it is in hand.
    End twin = stage.client();
    twin.hello().ask(statement("b", "look"));
    assert(twin.answer() == "22023");
    store.give("served");
    assert(client.answer() == "served");
}

// Clients that never bring a whole statement are closed within 3 s: those that say nothing, with a crowd of
// them others are served all the same, those that stop in the middle, and those that have far too much to
// say.
void clientsThatNeverAsk() {
    Stage stage(false, 64);
    std::vector<End> crowd;
    for (int i = 0; i < 40; ++i) crowd.push_back(stage.client());
    crowd[0].send(postgres::startupMessage().substr(0, 6));
    crowd[1].hello();
    crowd[2].hello().send(End::query(statement("half", "look")).substr(0, 30));
    crowd[3].hello().send(std::string("Q\x03\x94\0\0", 5) + std::string(48 << 10, 'x'));
    End client = stage.client(), store;
    client.hello();
    for (const char* id : {"a", "b"}) {
        client.ask(statement(id, "look"));
        if (*id == 'a') store = stage.replica.accept(), store.welcome();
        store.asked();
        store.give(id);
        assert(client.answer() == id);
    }
    const auto begun = std::time(nullptr);
    for (End& each : crowd) assert(each.ended());
    assert(std::time(nullptr) - begun <= 3);
    client.ask("");
    assert(client.answer() == "empty");
}

// An answer that is spoilt in any way may have run, and says nothing else: a read goes again at once, a
// one-shot is written off, and the store stays in use. What only comes behind a good answer, or can't be read
// in its report, spoils nothing, but that connection is not used again.
void storesThatSpeakNonsense() {
    Stage stage;
    End client = stage.client();
    client.hello();
    const std::string row = End::row("v"), ready = std::string("Z\0\0\0\5I", 6);
    const std::size_t data = row.find('D'), end = row.size() - 14;
    const std::string wrongs[] = {
        "D" + std::string("\xff\xff\xff\xff", 4),
        std::string("!\0\0\0\4", 5),
        row + row,
        std::string("R\0\0\0\x8\0\0\0\3", 9),
        std::string("S\0\0\0\6ab", 7),
        row.substr(data) + ready,                       // no description
        row.substr(0, data) + row.substr(end) + ready,  // no row
        row.substr(0, end) + ready,                     // no end
        row + "noise",
        ready,
        row.substr(0, data + 11),  // a value that stops
        row.substr(0, data) + std::string("D\0\0\0\x0b\0\2\0\0\0\1v", 12) + row.substr(end) + ready,
        row.substr(0, data) + std::string("D\0\0\0\x0b\0\1\0\0\0\2v", 12) + row.substr(end) + ready,
        row.substr(0, data) + std::string("D\xb2\xd0\x5e\0\0\1", 7) + std::string(100'000, 'x')};
    int n = 0;
    for (const std::string& wrong : wrongs) {
        client.ask(statement("w" + std::to_string(++n), "pay"));
        End store = stage.primary.accept();
        store.welcome().asked();
        store.send(wrong);
        assert(client.answer() == "40003" && store.ended());
    }
    for (const std::string& wrong : wrongs) {
        client.ask(statement("r" + std::to_string(++n), "look"));
        for (const bool again : {false, true}) {
            End store = stage.replica.accept();
            store.welcome().asked();
            again ? store.give("good") : store.send(wrong);
            if (again) store.close();
        }
        assert(client.answer() == "good");
    }
    std::string unread, noise = row;
    postgres::putSetting(unread, "load", "inflight=?,\xff");
    for (const std::string& extra : {row + ready, std::string("noise"), std::string(5, '\0')}) {
        client.ask(statement("e" + std::to_string(++n), "look"));
        End store = stage.replica.accept();
        store.welcome().asked();
        store.send(row + unread + ready + extra);
        assert(client.answer() == "v" && store.ended());
    }
}

int main() {
    bodiesSplitAnywhere();
    heads();
    statements();
    messages();
    reports();
    memoryIsBounded();
    clientsThatSpeakNonsense();
    clientsThatNeverAsk();
    storesThatSpeakNonsense();
}
