package io.hawthornlb.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Endpoint on loopback that answers requests as scripted by the test. */
public final class ScriptedEndpoint implements AutoCloseable {

  /** Placeholder in an answer for the id of the request. */
  public static final String ID = "{id}";

  private static final Pattern LENGTH = Pattern.compile("content-length: (\\d+)");
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)test-id: (\\S+)");

  /** Bytes that an answer without end writes at once. */
  private static final int PIECE_BYTES = 8_192;

  /** Time in which a caller reads an answer while it is still sending its request. */
  private static final int BEFORE_RESET_MILLIS = 300;

  /** Time in which a caller sees the end of the output, also on a busy machine. */
  private static final int BEFORE_CLOSE_MILLIS = 3_000;

  private final ServerSocket server;
  private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicLong endlessBytes = new AtomicLong();
  private volatile Duration endlessPause = Duration.ZERO;
  private volatile boolean readsBodies = true;
  private final CountDownLatch callerDisconnected = new CountDownLatch(1);
  private final Map<String, Step> standing = Collections.synchronizedMap(new LinkedHashMap<>());

  /** What the endpoint does with the connection after an answer. */
  public enum After {
    KEEP,
    /** Keeps the connection, and sends the answer once more before the next answer on it. */
    KEEP_AND_REPEAT,
    CLOSE,
    /** Ends its output in order, and closes the connection long after. */
    FINISH,
    RESET,
    WAIT,
    /** Sends the rest of the answer again and again until the other side closes the connection. */
    ENDLESS,
    /** Resets the connection and accepts no further one, as an endpoint whose process has ended. */
    CRASH
  }

  /**
   * An answer.
   *
   * @param until latch that must open before the rest of the answer is sent
   */
  private record Step(String answer, CountDownLatch until, String rest, After after) {}

  /** Starts listening on a free port. */
  public ScriptedEndpoint() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::accept, "endpoint");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the address at which the endpoint listens. */
  public InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Adds the answer to one more request. */
  public ScriptedEndpoint then(String answer, After after) {
    return then(answer, new CountDownLatch(0), "", after);
  }

  /**
   * Adds the answer to one more request; the rest of the answer is sent after a latch has opened.
   */
  public ScriptedEndpoint then(String answer, CountDownLatch until, String rest, After after) {
    steps.add(new Step(answer, until, rest, after));
    return this;
  }

  /**
   * Answers each request that contains a text in the same way, in place of the answers that were
   * added one by one. The first text that a request contains counts.
   *
   * @param text text in lower case; the case of the request does not matter
   */
  public ScriptedEndpoint whenever(String text, String answer, After after) {
    standing.put(text, new Step(answer, new CountDownLatch(0), "", after));
    return this;
  }

  /** Answers each request with bytes without end: a head, and then the same piece for ever. */
  public ScriptedEndpoint endlessly(String head, String piece) {
    standing.put("", new Step(head, new CountDownLatch(0), piece, After.ENDLESS));
    return this;
  }

  /** Answers the next request with bytes without end. */
  public ScriptedEndpoint endlesslyOnce(String head, String piece) {
    steps.add(new Step(head, new CountDownLatch(0), piece, After.ENDLESS));
    return this;
  }

  /** Answers each request like {@link #endlessly}, with a pause after each piece. */
  public ScriptedEndpoint trickling(String head, String piece, Duration pause) {
    endlessPause = pause;
    return endlessly(head, piece);
  }

  /** Answers each request as soon as its head has come, and leaves its body unread. */
  public ScriptedEndpoint answeringAtOnce() {
    readsBodies = false;
    return this;
  }

  /** Returns how many bytes without end were written to sockets so far. */
  public long endlessBytes() {
    return endlessBytes.get();
  }

  /** Returns the received requests so far, head and body. */
  public List<String> requests() {
    return requests;
  }

  /** Returns the number of accepted connections so far. */
  public int connections() {
    return connections.get();
  }

  /**
   * Returns a latch that opens when the other side closes a connection on which the endpoint works.
   */
  public CountDownLatch callerDisconnected() {
    return callerDisconnected;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        Thread thread = new Thread(() -> serve(socket), "endpoint-connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      String late = "";
      while (true) {
        String request = readsBodies ? read(in) : readHead(in);
        if (request.isEmpty()) {
          return;
        }
        requests.add(request);
        Step step = stepFor(request);
        Matcher id = REQUEST_ID.matcher(request);
        String answer = step.answer().replace(ID, id.find() ? id.group(1) : "");
        socket.getOutputStream().write((late + answer).getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        late = step.after() == After.KEEP_AND_REPEAT ? answer : "";
        step.until().await();
        socket.getOutputStream().write(step.rest().getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        if (step.after() == After.ENDLESS) {
          sendEndlessly(socket, step.rest().replace(ID, id.reset().find() ? id.group(1) : ""));
        }
        if (!continueConnection(socket, in, step.after())) {
          return;
        }
      }
    } catch (IOException e) {
      callerDisconnected.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendEndlessly(Socket socket, String piece) throws IOException, InterruptedException {
    Duration pause = endlessPause;
    int times = pause.isZero() ? 1 + PIECE_BYTES / piece.length() : 1;
    byte[] bytes = piece.repeat(times).getBytes(StandardCharsets.UTF_8);
    while (true) {
      Thread.sleep(pause.toMillis());
      socket.getOutputStream().write(bytes);
      endlessBytes.addAndGet(bytes.length);
    }
  }

  private Step stepFor(String request) throws InterruptedException {
    for (Map.Entry<String, Step> each : standing.entrySet()) {
      if (request.toLowerCase(Locale.ROOT).contains(each.getKey())) {
        return each.getValue();
      }
    }
    return steps.take();
  }

  private boolean continueConnection(Socket socket, InputStream in, After after)
      throws IOException, InterruptedException {
    if (after == After.RESET || after == After.CRASH) {
      // The answer must arrive before the reset.
      Thread.sleep(readsBodies ? 50 : BEFORE_RESET_MILLIS);
      if (after == After.CRASH) {
        close();
      }
      socket.setSoLinger(true, 0);
    } else if (after == After.FINISH) {
      socket.shutdownOutput();
      Thread.sleep(BEFORE_CLOSE_MILLIS);
    } else if (after == After.WAIT) {
      while (in.read() >= 0) {
        // Discards bytes until the connection ends.
      }
      callerDisconnected.countDown();
    }
    return after == After.KEEP || after == After.KEEP_AND_REPEAT;
  }

  /** Reads a request, head and body; returns an empty text at the end of the connection. */
  public static String read(InputStream in) throws IOException {
    String text = readHead(in);
    Matcher length = LENGTH.matcher(text.toLowerCase(Locale.ROOT));
    int body = length.find() ? Integer.parseInt(length.group(1)) : 0;
    return text + new String(in.readNBytes(body), StandardCharsets.UTF_8);
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String text = "";
    while (!text.contains("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      bytes.write(next);
      text = bytes.toString(StandardCharsets.UTF_8);
    }
    return text;
  }
}
