package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's metadata store: a log with keyed topics, fenced producers and groups.
 * It loses nothing, answers at once and refuses only what the protocol tells it to refuse.
 */
public final class Store implements AutoCloseable {

  private static final int PAGE_KEYS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final int REMEMBERED_APPENDS = 5;

  private final int partitions;
  private final int recordBytes;
  private final int callBytes;
  private HttpServer server;
  private final Map<String, Partition> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();

  /** Starts a store whose topics have a number of partitions. */
  public Store(int partitions, int recordBytes, int callBytes) throws IOException {
    this.partitions = partitions;
    this.recordBytes = recordBytes;
    this.callBytes = callBytes;
    server = listen();
  }

  private HttpServer listen() throws IOException {
    HttpServer opened =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    opened.setExecutor(Executors.newCachedThreadPool(Daemon::thread));
    opened.createContext("/", this::handle);
    opened.start();
    return opened;
  }

  /** Serves the same store at a further address; closing the result ends the former one. */
  public AutoCloseable move() throws IOException {
    HttpServer former = server;
    server = listen();
    return () -> former.stop(0);
  }

  public int port() {
    return server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  /** Writes a value under a key of partition 0 of a keyed topic, as operators and engines do. */
  public void put(String topic, String key, String value) {
    append(topic, 0, List.of(keyed(key, value.getBytes(StandardCharsets.UTF_8))));
  }

  /** Returns the keys of partition 0 of a keyed topic that have a value. */
  public synchronized List<String> keys(String topic) {
    return new ArrayList<>(partition(topic, 0).newest().keySet());
  }

  private static byte[] keyed(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + value.length)
        .put((byte) name.length)
        .put(name)
        .put(value)
        .array();
  }

  private synchronized long append(String topic, int part, List<byte[]> records) {
    Partition partition = partition(topic, part);
    long offset = partition.records.size();
    partition.records.addAll(records);
    notifyAll();
    return offset;
  }

  private Partition partition(String topic, int number) {
    return topics.computeIfAbsent(topic + "/" + number, any -> new Partition());
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/log-append" -> onAppend(exchange, query, body);
        case "/log-read" -> onRead(exchange, query);
        case "/log-newest" -> onNewest(exchange, query);
        case "/log-join" -> onJoin(exchange, new String(body, StandardCharsets.UTF_8));
        case "/log-leave" -> onLeave(exchange, new String(body, StandardCharsets.UTF_8));
        case "/log-owners" -> onOwners(exchange, query);
        default -> send(exchange, 404, "{}");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void onAppend(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    List<byte[]> records = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(body);
    boolean fits = body.length <= callBytes;
    while (bytes.hasRemaining()) {
      byte[] record = new byte[bytes.getInt()];
      bytes.get(record);
      records.add(record);
      fits &= record.length <= recordBytes;
    }
    if (!fits) {
      send(exchange, 413, "{}");
      return;
    }
    int status = 200;
    String answer;
    synchronized (this) {
      Partition partition = partition(query.get("Topic"), Integer.parseInt(query.get("part")));
      Writer writer = null;
      long sequence = 0;
      if (query.containsKey("Producer")) {
        writer = partition.writers.computeIfAbsent(query.get("Producer"), any -> new Writer());
        long epoch = Long.parseLong(query.get("epoch"));
        sequence = Long.parseLong(query.getOrDefault("Sequence", "0"));
        if (epoch < writer.epoch) {
          send(exchange, 409, "{\"why\":\"fenced\"}");
          return;
        }
        if (epoch > writer.epoch) {
          writer.begin(epoch);
        }
        String repeated = records.isEmpty() ? null : writer.answers.get(sequence);
        if (repeated != null) {
          send(exchange, 200, repeated);
          return;
        }
        if (!records.isEmpty() && writer.last >= 0 && sequence != writer.last + 1) {
          send(exchange, 409, "{\"why\":\"seq\",\"Sequence\":" + (writer.last + 1) + "}");
          return;
        }
      }
      if (query.containsKey("At")
          && Long.parseLong(query.get("At")) != partition.records.size()) {
        send(exchange, 412, "{\"End\":" + partition.records.size() + "}");
        return;
      }
      long offset = partition.records.size();
      partition.records.addAll(records);
      answer = "{\"Offset\":" + offset + ",\"End\":" + partition.records.size() + "}";
      if (writer != null && !records.isEmpty()) {
        writer.appended(sequence, answer);
      }
      notifyAll();
    }
    send(exchange, status, answer);
  }

  private void onRead(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(query.get("From"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
    int limit = Integer.parseInt(query.getOrDefault("MaxKb", "1024")) * 1024;
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    synchronized (this) {
      Partition partition = partition(query.get("Topic"), Integer.parseInt(query.get("part")));
      long left = end - System.nanoTime();
      while (partition.records.size() <= from && left > 0) {
        wait(Math.max(1, left / 1_000_000));
        left = end - System.nanoTime();
      }
      DataOutputStream out = new DataOutputStream(page);
      out.writeLong(partition.records.size());
      out.writeLong(0);
      for (int at = from; at < partition.records.size() && page.size() < limit; at++) {
        byte[] record = partition.records.get(at);
        out.writeInt(record.length);
        out.write(record);
      }
    }
    send(exchange, 200, page.toByteArray(), "application/octet-stream");
  }

  private void onNewest(HttpExchange exchange, Map<String, String> query) throws IOException {
    StringBuilder json = new StringBuilder("{\"Items\":[");
    boolean truncated = false;
    long end;
    synchronized (this) {
      Partition partition = partition(query.get("Topic"), Integer.parseInt(query.get("part")));
      TreeMap<String, Newest> newest = partition.newest();
      String after = query.get("After");
      int count = 0;
      for (Map.Entry<String, Newest> each :
          (after == null ? newest : newest.tailMap(after, false)).entrySet()) {
        if (count == PAGE_KEYS || json.length() > PAGE_BYTES) {
          truncated = true;
          break;
        }
        json.append(count == 0 ? "" : ",");
        json.append("{\"Key\":\"").append(each.getKey()).append("\",\"Value\":\"");
        json.append(Base64.getEncoder().encodeToString(each.getValue().value));
        json.append("\",\"Offset\":").append(each.getValue().offset).append('}');
        count++;
      }
      end = partition.records.size();
    }
    json.append("],\"Truncated\":").append(truncated).append(",\"End\":").append(end).append('}');
    send(exchange, 200, json.toString());
  }

  private void onJoin(HttpExchange exchange, String body) throws IOException {
    String member = field(body, "Member");
    String topic = field(body, "Topics");
    long generation = Long.parseLong(field(body, "Generation"));
    long lease = Long.parseLong(field(body, "TtlMs"));
    String answer;
    synchronized (this) {
      Group group = groups.computeIfAbsent(field(body, "group"), any -> new Group(partitions));
      group.topic = topic;
      group.join(member, generation, lease);
      StringBuilder rows = new StringBuilder();
      for (int part = 0; part < partitions; part++) {
        if (group.lists(part, member)) {
          rows.append(rows.length() == 0 ? "" : ",");
          rows.append("[\"").append(topic).append("\",").append(part).append(",0]");
        }
      }
      answer = "{\"Generation\":" + group.generation + ",\"parts\":[" + rows + "]}";
    }
    send(exchange, 200, answer);
  }

  private void onLeave(HttpExchange exchange, String body) throws IOException {
    synchronized (this) {
      Group group = groups.computeIfAbsent(field(body, "group"), any -> new Group(partitions));
      group.expire();
      if (group.members.remove(field(body, "Member")) != null) {
        group.change();
      }
    }
    send(exchange, 200, "{}");
  }

  private void onOwners(HttpExchange exchange, Map<String, String> query) throws IOException {
    StringBuilder rows = new StringBuilder();
    synchronized (this) {
      Group group = groups.computeIfAbsent(query.get("group"), any -> new Group(partitions));
      group.expire();
      for (int part = 0; part < partitions; part++) {
        if (group.owners[part] != null) {
          rows.append(rows.length() == 0 ? "" : ",");
          rows.append("[\"").append(group.topic).append("\",").append(part).append(",\"");
          rows.append(group.owners[part]).append("\",0]");
        }
      }
    }
    send(exchange, 200, "{\"parts\":[" + rows + "]}");
  }

  /** Returns the value of a field of a flat JSON object; of an array, its first string. */
  private static String field(String json, String name) {
    Matcher matcher =
        Pattern.compile("\"" + name + "\":(?:\\[?\"([^\"]*)\"|(-?\\d+))").matcher(json);
    if (!matcher.find()) {
      throw new IllegalArgumentException(name + " is missing in " + json);
    }
    return matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    if (text != null) {
      for (String pair : text.split("&")) {
        int at = pair.indexOf('=');
        query.put(
            pair.substring(0, at),
            URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private static void send(HttpExchange exchange, int status, String json) throws IOException {
    send(exchange, status, json.getBytes(StandardCharsets.UTF_8), "application/json");
  }

  private static void send(HttpExchange exchange, int status, byte[] body, String type)
      throws IOException {
    exchange.getResponseHeaders().set("Content-Type", type);
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
  }

  private record Newest(byte[] value, long offset) {}

  /** One partition of a topic. */
  private static final class Partition {

    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Writer> writers = new HashMap<>();

    private TreeMap<String, Newest> newest() {
      TreeMap<String, Newest> newest = new TreeMap<>();
      for (int offset = 0; offset < records.size(); offset++) {
        byte[] record = records.get(offset);
        int length = Byte.toUnsignedInt(record[0]);
        String key = new String(record, 1, length, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
        if (value.length == 0) {
          newest.remove(key);
        } else {
          newest.put(key, new Newest(value, offset));
        }
      }
      return newest;
    }
  }

  /** A producer of one partition. */
  private static final class Writer {

    private long epoch = -1;
    private long last = -1;
    private final Map<Long, String> answers = new LinkedHashMap<>();

    private void begin(long next) {
      epoch = next;
      last = -1;
      answers.clear();
    }

    private void appended(long sequence, String answer) {
      last = sequence;
      answers.put(sequence, answer);
      if (answers.size() > REMEMBERED_APPENDS) {
        answers.remove(answers.keySet().iterator().next());
      }
    }
  }

  /** A group that shares the partitions of a topic evenly among its members. */
  private static final class Group {

    private final TreeMap<String, Member> members = new TreeMap<>();
    private final String[] owners;
    private final String[] wanted;
    private final long[] releasedBy;
    private String topic = "";
    private long generation;

    private static final class Member {
      private long until;
    }

    private Group(int partitions) {
      owners = new String[partitions];
      wanted = new String[partitions];
      releasedBy = new long[partitions];
    }

    private void join(String name, long knownGeneration, long lease) {
      expire();
      Member member = members.get(name);
      if (member == null) {
        member = new Member();
        members.put(name, member);
        change();
      }
      member.until = System.nanoTime() + lease * 1_000_000;
      for (int part = 0; part < owners.length; part++) {
        boolean moves = name.equals(owners[part]) && !name.equals(wanted[part]);
        if (moves && knownGeneration >= releasedBy[part]) {
          owners[part] = null;
        }
      }
      assign();
    }

    /** A partition that is to move is not listed to its owner, and moves once the owner has seen that. */
    private boolean lists(int part, String name) {
      return name.equals(owners[part]) && name.equals(wanted[part]);
    }

    private void expire() {
      long now = System.nanoTime();
      if (members.values().removeIf(member -> member.until < now)) {
        change();
      }
    }

    /** Deals the partitions evenly, and moves as few as possible. */
    private void change() {
      generation++;
      Deque<Integer> free = new ArrayDeque<>();
      Map<String, Integer> counts = new HashMap<>();
      int most = members.isEmpty() ? 0 : (owners.length + members.size() - 1) / members.size();
      for (int part = 0; part < owners.length; part++) {
        String owner = wanted[part];
        if (owner != null
            && members.containsKey(owner)
            && counts.getOrDefault(owner, 0) < most) {
          counts.merge(owner, 1, Integer::sum);
        } else {
          free.add(part);
        }
      }
      for (int part : free) {
        String next = null;
        for (String name : new TreeSet<>(members.keySet())) {
          if (next == null || counts.getOrDefault(name, 0) < counts.getOrDefault(next, 0)) {
            next = name;
          }
        }
        wanted[part] = next;
        releasedBy[part] = generation;
        if (next != null) {
          counts.merge(next, 1, Integer::sum);
        }
      }
      assign();
    }

    private void assign() {
      for (int part = 0; part < owners.length; part++) {
        boolean gone = owners[part] == null || !members.containsKey(owners[part]);
        if (gone) {
          owners[part] = wanted[part];
        }
      }
    }
  }
}
