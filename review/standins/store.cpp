#include "store.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace jasminetrack::review
{
namespace
{

using nlohmann::json;

constexpr milliseconds append_ms = 4;
constexpr std::size_t remembered_appends = 5;
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1024 * 1024;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;

void write_number(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (auto i = bytes; i-- > 0;)
        out += static_cast<char>((value >> (8 * i)) & 0xff);
}

std::uint64_t read_number(std::string const& in, std::size_t at)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
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

std::string text_of(http_request const& r, std::string const& name)
{
    auto const at = r.query.find(name);
    return at == r.query.end() ? std::string() : at->second;
}

std::int64_t number_of(http_request const& r, std::string const& name)
{
    auto const text = text_of(r, name);
    return text.empty() ? 0 : std::stoll(text);
}

http_response to_json(int status, json const& body)
{
    return {status, body.dump(), "application/json", delivery::answer};
}

/// \returns the key and the value of each record of an append.
std::vector<std::pair<std::string, std::string>>
read_records(std::string const& body)
{
    std::vector<std::pair<std::string, std::string>> list;
    for (std::size_t at = 0; at + length_bytes < body.size();)
    {
        auto const length = read_number(body, at);
        at += length_bytes;
        auto const key = static_cast<unsigned char>(body.at(at));
        list.emplace_back(body.substr(at + 1, key),
                          body.substr(at + 1 + key, length - 1 - key));
        at += length;
    }
    return list;
}

} // namespace

store::store(std::string const& address)
    : choose_([](store_call const&) { return store_action::serve; }),
      server_(address, [this](http_request const& r) { return handle(r); })
{
}

store::~store()
{
    stop();
}

void store::stop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
}

void store::set_chooser(chooser choose)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    choose_ = std::move(choose);
}

void store::add(topic_state& topic, entry e)
{
    topic.newest[e.key] = topic.entries.size();
    if (e.value.empty())
        topic.newest.erase(e.key);
    topic.entries.push_back(std::move(e));
}

void store::put(std::string const& topic, std::string const& key,
                std::string const& value)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        add(topics_[topic], {key, value});
    }
    changed_.notify_all();
}

void store::set_read_cost(milliseconds answer_ms, std::int64_t bytes_per_ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    answer_ms_ = answer_ms;
    bytes_per_ms_ = bytes_per_ms;
}

void store::take_time(std::size_t bytes)
{
    auto const now = now_ms();
    auto until = now;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        until += answer_ms_;
        if (bytes_per_ms_ > 0)
        {
            reads_until_ms_ =
                std::max(reads_until_ms_, static_cast<double>(now)) +
                static_cast<double>(bytes) / static_cast<double>(bytes_per_ms_);
            until = std::max(until, static_cast<milliseconds>(reads_until_ms_));
        }
    }
    sleep_ms(until - now);
}

bool store::contains(std::string const& topic, std::string const& key)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return topics_[topic].newest.count(key) != 0;
}

http_response store::handle(http_request const& request)
{
    store_call call{request.path,
                    text_of(request, "topic"),
                    text_of(request, "producer"),
                    {}};
    if (request.path == "/api/log-append")
        for (auto const& [key, value] : read_records(request.body))
            call.keys.push_back(key);
    chooser choose;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        choose = choose_;
    }
    auto const action = choose(call);
    if (action == store_action::refuse)
        return to_json(503, {{"error", "try later"}});
    if (action == store_action::mute)
        return {0, "", "", delivery::mute};
    http_response response{404, "{}", "application/json", delivery::answer};
    if (request.path == "/api/log-append")
        response = append(request);
    if (request.path == "/api/log-read")
        response = read(request);
    if (request.path == "/api/log-newest")
        response = read_newest(request);
    if (request.method == "GET")
        take_time(response.body.size());
    if (action == store_action::lose_answer)
        response.delivery = delivery::reset;
    return response;
}

http_response store::append(http_request const& request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto& topic = topics_[text_of(request, "topic")];
    auto& producer = topic.producers[text_of(request, "producer")];
    auto const epoch = number_of(request, "epoch");
    auto const sequence = number_of(request, "seq_no");
    auto const end = static_cast<std::int64_t>(topic.entries.size());
    if (producer.any && epoch < producer.epoch)
        return to_json(409, {{"reason", "fenced"}});
    bool const same_epoch = producer.any && epoch == producer.epoch;
    if (same_epoch && sequence != producer.sequence + 1)
    {
        for (auto const& a : producer.latest)
            if (a.sequence == sequence)
                return to_json(200, {{"offset", a.offset}, {"end", a.end}});
        return to_json(409,
                       {{"reason", "seq"}, {"seq_no", producer.sequence + 1}});
    }
    if (request.query.count("at") != 0 && number_of(request, "at") != end)
        return to_json(412, {{"end", end}});
    if (!same_epoch)
        producer.latest.clear();
    producer.any = true;
    producer.epoch = epoch;
    producer.sequence = sequence;
    for (auto& [key, value] : read_records(request.body))
        add(topic, {key, value});
    accepted_append const done{sequence, end,
                               static_cast<std::int64_t>(topic.entries.size())};
    producer.latest.push_back(done);
    if (producer.latest.size() > remembered_appends)
        producer.latest.pop_front();
    changed_.notify_all();
    lock.unlock();
    sleep_ms(append_ms);
    return to_json(200, {{"offset", done.offset}, {"end", done.end}});
}

http_response store::read(http_request const& request)
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto& topic = topics_[text_of(request, "topic")];
    auto const from = static_cast<std::size_t>(number_of(request, "from"));
    changed_.wait_for(lock,
                      std::chrono::milliseconds(number_of(request, "wait_ms")),
                      [&] { return stopping_ || topic.entries.size() > from; });
    http_response response;
    response.content_type = "application/octet-stream";
    write_number(response.body, topic.entries.size(), offset_bytes);
    write_number(response.body, 0, offset_bytes);
    for (auto i = from;
         i < topic.entries.size() && response.body.size() < max_page_bytes; ++i)
    {
        auto const& e = topic.entries[i];
        write_number(response.body, 1 + e.key.size() + e.value.size(),
                     length_bytes);
        write_number(response.body, e.key.size(), 1);
        response.body += e.key + e.value;
    }
    return response;
}

http_response store::read_newest(http_request const& request)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& topic = topics_[text_of(request, "topic")];
    auto const after = text_of(request, "after");
    json items = json::array();
    std::size_t bytes = 0;
    auto at =
        after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
    for (; at != topic.newest.end() && items.size() < max_page_items &&
           bytes < max_page_bytes;
         ++at)
    {
        auto const& e = topic.entries[at->second];
        bytes += e.key.size() + e.value.size();
        items.push_back({{"key", e.key},
                         {"value", to_base64(e.value)},
                         {"offset", at->second}});
    }
    return to_json(200, {{"items", items},
                         {"has_more", at != topic.newest.end()},
                         {"end", topic.entries.size()}});
}

} // namespace jasminetrack::review
