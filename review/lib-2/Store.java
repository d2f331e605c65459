import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: keyed and plain topics, fenced
 * producers, limits of records and calls, and groups. It loses nothing and answers at once.
 */
final class Store implements AutoCloseable {

  static final int PARTITIONS = 12;
  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;
  private static final int READ_BYTES = 1_048_576;
  private static final int PAGE_RECORDS = 500;
  private static final int KEPT_APPENDS = 5;

  /** A record of a topic: its bytes, and the key and value of a keyed one. */
  private record Entry(byte[] bytes, String key, byte[] value) {}

  private record Done(long sequence, long offset, long end) {}

  /** What a partition knows of a producer. */
  private static final class Producer {
    private long epoch = -1;
    private long sequence = -1;
    private boolean appended;
    private final Deque<Done> last = new ArrayDeque<>();
  }

  private static final class Partition {
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<String, Long> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
  }

  private static final class Group {
    private long generation;
    private final TreeMap<String, Long> expiry = new TreeMap<>();
    private final Map<String, String> owner = new HashMap<>();
    private final Map<String, String> target = new HashMap<>();
  }

  private final ServerSocket server;
  private final Trial trial;
  private final Map<String, Partition> partitions = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private volatile boolean closed;
  private long refusedTooLarge;
  private long refusedAsFenced;

  Store(Trial trial) throws IOException {
    this.trial = trial;
    server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    Thread accepting = new Thread(this::accept, "store");
    accepting.setDaemon(true);
    accepting.start();
  }

  int port() {
    return server.getLocalPort();
  }

  /**
   * Takes over what a store holds of a fleet that is running: a group whose members share the
   * partitions of a topic, with the epoch under which the producer of each partition has written.
   */
  synchronized void holds(
      String groupName, long generation, List<String> members, long ttl, String topic,
      String producer, long epoch) {
    Group group = groups.computeIfAbsent(groupName, any -> new Group());
    for (int number = 0; number < PARTITIONS; number++) {
      group.target.put(topic + "/" + number, "");
      partition(topic, number).producers.computeIfAbsent(producer, any -> new Producer()).epoch =
          epoch;
    }
    members.forEach(each -> group.expiry.put(each, now() + ttl));
    deal(group);
    group.owner.putAll(group.target);
    group.generation = generation;
  }

  /** Returns how many appends were refused for an old epoch. */
  synchronized long refusedAsFenced() {
    return refusedAsFenced;
  }

  /** Returns the generation of a group. */
  synchronized long generation(String groupName) {
    return groups.computeIfAbsent(groupName, any -> new Group()).generation;
  }

  /** Returns how many appends were refused since a record or the call was too large. */
  synchronized long refusedTooLarge() {
    return refusedTooLarge;
  }

  /** Writes a text under a key, as the operator and engines do. */
  synchronized void put(String topic, String key, String value) {
    add(partition(topic, 0), keyed(key, value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Drops a key. */
  synchronized void drop(String topic, String key) {
    add(partition(topic, 0), keyed(key, new byte[0]));
  }

  /** Returns the newest records of a partition: keys and the lengths of their values. */
  synchronized Map<String, Integer> newest(String topic, int number) {
    Map<String, Integer> lengths = new TreeMap<>();
    Partition from = partition(topic, number);
    from.newest.forEach(
        (key, offset) -> lengths.put(key, from.entries.get(offset.intValue()).value().length));
    return lengths;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        Thread serving = new Thread(() -> serve(socket), "store-call");
        serving.setDaemon(true);
        serving.start();
      } catch (IOException e) {
        if (!closed) {
          trial.log("store: " + e);
        }
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (HttpMessage call = HttpMessage.read(in); call != null; call = HttpMessage.read(in)) {
        answer(call, socket.getOutputStream());
      }
    } catch (IOException e) {
      // The caller has closed the channel.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private record Reply(int status, String type, byte[] body) {

    static Reply json(int status, String text) {
      return new Reply(status, "application/json", text.getBytes(StandardCharsets.UTF_8));
    }
  }

  private void answer(HttpMessage call, OutputStream out)
      throws IOException, InterruptedException {
    String target = call.target();
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
    Reply reply =
        switch (path) {
          case "/log-append" -> append(query, call.body);
          case "/log-read" -> read(query);
          case "/log-newest" -> newestPage(query);
          case "/log-join" -> join(Json.object(text(call.body)));
          case "/log-leave" -> leave(Json.object(text(call.body)));
          case "/log-owners" -> owners(query);
          default -> Reply.json(404, "{}");
        };
    String head =
        "HTTP/1.1 "
            + reply.status()
            + " X\r\nContent-Type: "
            + reply.type()
            + "\r\nContent-Length: "
            + reply.body().length
            + "\r\n\r\n";
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.writeBytes(head.getBytes(StandardCharsets.UTF_8));
    whole.writeBytes(reply.body());
    out.write(whole.toByteArray());
    out.flush();
  }

  private synchronized Reply append(Map<String, String> query, byte[] body) {
    String topic = query.get("Topic");
    Partition to = partition(topic, Integer.parseInt(query.get("part")));
    List<Entry> added = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(body);
    while (bytes.hasRemaining()) {
      byte[] record = new byte[bytes.getInt()];
      bytes.get(record);
      if (record.length > RECORD_BYTES) {
        return tooLarge(topic, query, "a record of " + record.length + " bytes");
      }
      added.add(topic.startsWith("keyed.") ? keyed(record) : new Entry(record, null, null));
    }
    if (body.length > CALL_BYTES) {
      return tooLarge(topic, query, "a call of " + body.length + " bytes");
    }
    if (query.containsKey("At") && Long.parseLong(query.get("At")) != to.entries.size()) {
      return Reply.json(412, "{\"End\":" + to.entries.size() + "}");
    }
    if (!query.containsKey("Producer")) {
      return done(to, added);
    }
    return appendFenced(to, query, added);
  }

  private Reply tooLarge(String topic, Map<String, String> query, String what) {
    refusedTooLarge++;
    if (refusedTooLarge <= 3 || refusedTooLarge % 50 == 0) {
      trial.log(
          "store: refuses append to " + topic + "/" + query.get("part") + ": " + what + " (number "
              + refusedTooLarge + ")");
    }
    return Reply.json(413, "{}");
  }

  private Reply appendFenced(Partition to, Map<String, String> query, List<Entry> added) {
    Producer producer = to.producers.computeIfAbsent(query.get("Producer"), any -> new Producer());
    long epoch = Long.parseLong(query.get("epoch"));
    long sequence = Long.parseLong(query.getOrDefault("Sequence", "0"));
    if (epoch < producer.epoch) {
      refusedAsFenced++;
      if (refusedAsFenced <= 3 || refusedAsFenced % 500 == 0) {
        trial.log(
            "store: refuses append to part " + query.get("part") + " with epoch " + epoch
                + " below " + producer.epoch + " (number " + refusedAsFenced + ")");
      }
      return Reply.json(409, "{\"why\":\"fenced\"}");
    }
    if (epoch > producer.epoch) {
      producer.epoch = epoch;
      producer.appended = false;
      producer.last.clear();
    }
    if (added.isEmpty()) {
      return done(to, added);
    }
    for (Done each : producer.last) {
      if (each.sequence() == sequence) {
        return Reply.json(200, "{\"Offset\":" + each.offset() + ",\"End\":" + each.end() + "}");
      }
    }
    if (producer.appended && sequence != producer.sequence + 1) {
      return Reply.json(409, "{\"why\":\"seq\",\"Sequence\":" + (producer.sequence + 1) + "}");
    }
    long offset = to.entries.size();
    Reply reply = done(to, added);
    producer.sequence = sequence;
    producer.appended = true;
    producer.last.addLast(new Done(sequence, offset, to.entries.size()));
    while (producer.last.size() > KEPT_APPENDS) {
      producer.last.removeFirst();
    }
    return reply;
  }

  private Reply done(Partition to, List<Entry> added) {
    long offset = to.entries.size();
    added.forEach(entry -> add(to, entry));
    return Reply.json(200, "{\"Offset\":" + offset + ",\"End\":" + to.entries.size() + "}");
  }

  private synchronized void add(Partition to, Entry entry) {
    if (entry.key() != null) {
      if (entry.value().length == 0) {
        to.newest.remove(entry.key());
      } else {
        to.newest.put(entry.key(), (long) to.entries.size());
      }
    }
    to.entries.add(entry);
    notifyAll();
  }

  private synchronized Reply read(Map<String, String> query) throws InterruptedException {
    Partition from = partition(query.get("Topic"), Integer.parseInt(query.get("part")));
    int offset = Integer.parseInt(query.get("From"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
    while (offset >= from.entries.size() && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.writeBytes(ByteBuffer.allocate(16).putLong(from.entries.size()).putLong(0).array());
    for (int at = offset; at < from.entries.size() && body.size() < READ_BYTES; at++) {
      byte[] bytes = from.entries.get(at).bytes();
      body.writeBytes(ByteBuffer.allocate(4).putInt(bytes.length).array());
      body.writeBytes(bytes);
    }
    return new Reply(200, "application/octet-stream", body.toByteArray());
  }

  private synchronized Reply newestPage(Map<String, String> query) {
    Partition from = partition(query.get("Topic"), Integer.parseInt(query.get("part")));
    String after = query.get("After");
    StringBuilder items = new StringBuilder();
    int records = 0;
    boolean truncated = false;
    for (Map.Entry<String, Long> each :
        (after == null ? from.newest : from.newest.tailMap(after, false)).entrySet()) {
      if (records == PAGE_RECORDS || items.length() > READ_BYTES) {
        truncated = true;
        break;
      }
      byte[] value = from.entries.get(each.getValue().intValue()).value();
      items
          .append(records == 0 ? "" : ",")
          .append("{\"Key\":")
          .append(Json.quote(each.getKey()))
          .append(",\"Value\":\"")
          .append(Base64.getEncoder().encodeToString(value))
          .append("\",\"Offset\":")
          .append(each.getValue())
          .append("}");
      records++;
    }
    return Reply.json(
        200,
        "{\"Items\":[" + items + "],\"Truncated\":" + truncated + ",\"End\":" + from.entries.size()
            + "}");
  }

  private synchronized Reply join(Map<String, Object> call) {
    Group group = groups.computeIfAbsent((String) call.get("group"), any -> new Group());
    String member = (String) call.get("Member");
    @SuppressWarnings("unchecked")
    List<Object> topics = (List<Object>) call.get("Topics");
    for (Object topic : topics) {
      for (int number = 0; number < PARTITIONS; number++) {
        group.target.putIfAbsent(topic + "/" + number, "");
      }
    }
    expire(group);
    long ttl = (Long) call.get("TtlMs");
    if (group.expiry.put(member, now() + ttl) == null) {
      deal(group);
    }
    if ((Long) call.get("Generation") >= group.generation) {
      group.owner.entrySet().removeIf(
          each ->
              each.getValue().equals(member) && !group.target.get(each.getKey()).equals(member));
    }
    group.target.forEach((part, to) -> group.owner.putIfAbsent(part, to));
    StringBuilder rows = new StringBuilder();
    new TreeMap<>(group.target)
        .forEach(
            (part, to) -> {
              if (to.equals(member) && member.equals(group.owner.get(part))) {
                String[] names = part.split("/");
                rows.append(rows.length() == 0 ? "" : ",")
                    .append("[\"" + names[0] + "\"," + names[1] + ",0]");
              }
            });
    return Reply.json(
        200,
        "{\"Generation\":" + group.generation + ",\"TtlMs\":" + ttl + ",\"parts\":[" + rows + "]}");
  }

  private synchronized Reply leave(Map<String, Object> call) {
    Group group = groups.computeIfAbsent((String) call.get("group"), any -> new Group());
    if (group.expiry.remove((String) call.get("Member")) != null) {
      group.owner.values().removeIf(owner -> owner.equals(call.get("Member")));
      deal(group);
    }
    return Reply.json(200, "{}");
  }

  private synchronized Reply owners(Map<String, String> query) {
    Group group = groups.computeIfAbsent(query.get("group"), any -> new Group());
    expire(group);
    StringBuilder rows = new StringBuilder();
    new TreeMap<>(group.owner)
        .forEach(
            (part, owner) -> {
              String[] names = part.split("/");
              if (!owner.isEmpty()) {
                rows.append(rows.length() == 0 ? "" : ",")
                    .append("[\"" + names[0] + "\"," + names[1] + ",\"" + owner + "\",0]");
              }
            });
    return Reply.json(200, "{\"parts\":[" + rows + "]}");
  }

  private static void expire(Group group) {
    List<String> silent = new ArrayList<>();
    group.expiry.forEach(
        (member, until) -> {
          if (until < now()) {
            silent.add(member);
          }
        });
    silent.forEach(group.expiry::remove);
    if (!silent.isEmpty()) {
      group.owner.values().removeIf(silent::contains);
      deal(group);
    }
  }

  /** Distributes the partitions evenly; a member keeps what it has up to its share. */
  private static void deal(Group group) {
    group.generation++;
    List<String> members = new ArrayList<>(group.expiry.keySet());
    group.owner.values().removeIf(String::isEmpty);
    if (members.isEmpty()) {
      group.target.replaceAll((part, to) -> "");
      return;
    }
    int share = (group.target.size() + members.size() - 1) / members.size();
    Map<String, Integer> counts = new HashMap<>();
    Map<String, String> dealt = new LinkedHashMap<>();
    for (String part : new TreeMap<>(group.target).keySet()) {
      String former = group.target.get(part);
      if (members.contains(former) && counts.getOrDefault(former, 0) < share) {
        counts.merge(former, 1, Integer::sum);
        dealt.put(part, former);
      }
    }
    for (String part : new TreeMap<>(group.target).keySet()) {
      if (!dealt.containsKey(part)) {
        String least = members.get(0);
        for (String each : members) {
          if (counts.getOrDefault(each, 0) < counts.getOrDefault(least, 0)) {
            least = each;
          }
        }
        counts.merge(least, 1, Integer::sum);
        dealt.put(part, least);
      }
    }
    group.target.putAll(dealt);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private synchronized Partition partition(String topic, int number) {
    return partitions.computeIfAbsent(topic + "/" + number, any -> new Partition());
  }

  private static Entry keyed(byte[] record) {
    int length = Byte.toUnsignedInt(record[0]);
    String key = new String(record, 1, length, StandardCharsets.UTF_8);
    byte[] value = new byte[record.length - 1 - length];
    System.arraycopy(record, 1 + length, value, 0, value.length);
    return new Entry(record, key, value);
  }

  private static Entry keyed(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + value.length);
    record.put((byte) name.length).put(name).put(value);
    return new Entry(record.array(), key, value);
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> fields = new HashMap<>();
    for (String each : text.split("&")) {
      int equals = each.indexOf('=');
      if (equals > 0) {
        fields.put(
            each.substring(0, equals),
            URLDecoder.decode(each.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return fields;
  }
}
