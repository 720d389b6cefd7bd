#include "store.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminetrack::review3
{
namespace
{

using nlohmann::json;

/// Of the settings that DEPLOY.md shows.
constexpr std::size_t record_bytes = 262'144;
constexpr std::size_t call_bytes = 2'097'152;
constexpr milliseconds append_ms = 4;
constexpr std::size_t kept_answers = 5;
constexpr std::size_t max_items = 500;
constexpr std::size_t max_item_bytes = 1'000'000;
constexpr milliseconds max_wait_ms = 30'000;
constexpr std::size_t length_bytes = 4;

void put_big_endian(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (auto i = bytes; i-- > 0;)
        out += static_cast<char>((value >> (8 * i)) & 0xff);
}

std::uint64_t read_big_endian(std::string const& in, std::size_t at,
                              std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
        value = value << 8 | static_cast<unsigned char>(in[at + i]);
    return value;
}

std::string to_base64(std::string const& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::encoded_size(bytes.size()), '\0');
    out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

std::int64_t number(request const& r, char const* name, std::int64_t missing)
{
    auto const at = r.query.find(name);
    return at == r.query.end() ? missing : std::stoll(at->second);
}

std::string text(request const& r, char const* name)
{
    auto const at = r.query.find(name);
    return at == r.query.end() ? std::string() : at->second;
}

response error(int status, json const& body)
{
    return {status, body.dump(), "application/json", reply::answer};
}

} // namespace

store::store(listener listen) : listen_(std::move(listen)) {}

store::~store()
{
    stop();
}

std::string store::open_gate()
{
    auto g = std::make_unique<gate>();
    auto* const self = g.get();
    g->http = std::make_unique<server>(
        [this, self](request const& r)
        {
            if (self->mode == store_mode::refuse)
                return error(503, json::object());
            auto answer = handle(r);
            // A read that waited is turned away as well.
            if (self->mode == store_mode::refuse && r.method == "GET")
                return error(503, json::object());
            return answer;
        });
    gates_.push_back(std::move(g));
    return gates_.back()->http->address();
}

void store::set_mode(std::string const& address, store_mode mode)
{
    for (auto const& g : gates_)
        if (g->http->address() == address)
            g->mode = mode;
}

store::topic_log& store::topic_of(std::string const& name)
{
    auto& t = topics_[name];
    if (!t)
        t = std::make_unique<topic_log>();
    return *t;
}

void store::add(topic_log& t, record r)
{
    auto const offset = static_cast<std::int64_t>(t.records.size());
    if (r.value.empty())
        t.newest.erase(r.key);
    else
        t.newest[r.key] = offset;
    t.records.push_back(std::move(r));
}

void store::put(std::string const& topic, std::string const& key,
                std::string const& value)
{
    record r{key, value, {}};
    put_big_endian(r.bytes, 1 + key.size() + value.size(), length_bytes);
    put_big_endian(r.bytes, key.size(), 1);
    r.bytes += key + value;
    std::lock_guard<std::mutex> const lock(mutex_);
    add(topic_of(topic), std::move(r));
    changed_.notify_all();
}

std::string store::newest(std::string const& topic, std::string const& key)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& t = topic_of(topic);
    auto const at = t.newest.find(key);
    return at == t.newest.end()
               ? std::string()
               : t.records[static_cast<std::size_t>(at->second)].value;
}

void store::copy_record(std::string const& topic, std::string const& id,
                        std::vector<std::string> const& ids)
{
    auto const value = newest(topic, id);
    auto const at = value.find(id);
    for (auto const& other : ids)
    {
        auto copy = value;
        if (at != std::string::npos)
            copy.replace(at, id.size(), other);
        put(topic, other, copy);
    }
}

void store::stop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (auto const& g : gates_)
        g->http->stop();
}

response store::handle(request const& r)
{
    if (r.method == "POST" && r.path == "/api/log-append")
        return append(r);
    if (r.method == "GET" && r.path == "/api/log-read")
        return read(r);
    if (r.method == "GET" && r.path == "/api/log-newest")
        return read_newest(r);
    return error(404, json::object());
}

response store::append(request const& r)
{
    auto const name = text(r, "topic");
    if (name == "keyed.op" || name == "keyed.servers")
        return error(403, json::object());
    std::vector<record> records;
    for (std::size_t at = 0; at + length_bytes <= r.body.size();)
    {
        auto const length = read_big_endian(r.body, at, length_bytes);
        if (length > record_bytes || r.body.size() > call_bytes)
        {
            listen_("the store rejects an append to " + name +
                    " with status "
                    "413: a record of " +
                    std::to_string(length) + " bytes, a call of " +
                    std::to_string(r.body.size()) + " bytes");
            return error(413, {{"reason", "size"}});
        }
        record one;
        one.bytes = r.body.substr(at, length_bytes + length);
        at += length_bytes;
        auto const key_bytes = static_cast<unsigned char>(r.body[at]);
        one.key = r.body.substr(at + 1, key_bytes);
        one.value = r.body.substr(at + 1 + key_bytes, length - 1 - key_bytes);
        at += length;
        records.push_back(std::move(one));
    }
    topic_log* t = nullptr;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        t = &topic_of(name);
    }
    std::lock_guard<std::mutex> const turn(t->append_mutex);
    sleep_ms(append_ms);
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const end = static_cast<std::int64_t>(t->records.size());
    auto const producer = text(r, "producer");
    auto const epoch = number(r, "epoch", 0);
    auto const sequence = number(r, "seq_no", 0);
    auto* const w = producer.empty() ? nullptr : &t->writers[producer];
    if (w && epoch < w->epoch)
        return error(409, {{"reason", "fenced"}});
    if (w && epoch == w->epoch)
    {
        for (auto const& [known, answer] : w->answers)
            if (known == sequence)
                return {200, answer, "application/json", reply::answer};
        if (sequence != w->sequence + 1)
            return error(409,
                         {{"reason", "seq"}, {"expected", w->sequence + 1}});
    }
    if (r.query.count("at") != 0 && number(r, "at", 0) != end)
        return error(412, {{"end", end}});
    for (auto& one : records)
        add(*t, std::move(one));
    changed_.notify_all();
    json const done{{"offset", end},
                    {"end", static_cast<std::int64_t>(t->records.size())}};
    if (w)
    {
        if (epoch > w->epoch)
            w->answers.clear();
        w->epoch = epoch;
        w->sequence = sequence;
        w->answers.emplace_back(sequence, done.dump());
        if (w->answers.size() > kept_answers)
            w->answers.pop_front();
    }
    return {200, done.dump(), "application/json", reply::answer};
}

response store::read(request const& r)
{
    auto const from = static_cast<std::size_t>(number(r, "from", 0));
    auto const wait = std::min(number(r, "wait_ms", 0), max_wait_ms);
    auto const most =
        static_cast<std::size_t>(number(r, "max_kb", 1'024)) * 1'024;
    std::unique_lock<std::mutex> lock(mutex_);
    auto& t = topic_of(text(r, "topic"));
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return stopping_ || t.records.size() > from; });
    std::string out;
    put_big_endian(out, t.records.size(), 8);
    put_big_endian(out, 0, 8);
    std::size_t size = 0;
    for (auto i = from; i < t.records.size(); ++i)
    {
        auto const& bytes = t.records[i].bytes;
        if (size > 0 && size + bytes.size() > most)
            break;
        size += bytes.size();
        out += bytes;
    }
    return {200, out, "application/octet-stream", reply::answer};
}

response store::read_newest(request const& r)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& t = topic_of(text(r, "topic"));
    auto const after = text(r, "after");
    json items = json::array();
    std::size_t size = 0;
    bool more = false;
    for (auto at = after.empty() ? t.newest.begin()
                                 : t.newest.upper_bound(after);
         at != t.newest.end(); ++at)
    {
        auto const& one = t.records[static_cast<std::size_t>(at->second)];
        if (items.size() == max_items ||
            (size > 0 && size + one.value.size() > max_item_bytes))
        {
            more = true;
            break;
        }
        size += one.value.size();
        items.push_back({{"key", one.key},
                         {"value", to_base64(one.value)},
                         {"offset", at->second}});
    }
    json const body{{"items", items},
                    {"has_more", more},
                    {"end", static_cast<std::int64_t>(t.records.size())}};
    return {200, body.dump(), "application/json", reply::answer};
}

} // namespace jasminetrack::review3
