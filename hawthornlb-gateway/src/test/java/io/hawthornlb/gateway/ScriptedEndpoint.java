package io.hawthornlb.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Endpoint on loopback that answers each request as the test says. */
public final class ScriptedEndpoint implements AutoCloseable {

  /** Stands in an answer for the id of the request. */
  public static final String ID = "{id}";

  private static final Pattern LENGTH = Pattern.compile("content-length: (\\d+)");
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)test-id: (\\S+)");

  private final ServerSocket server;
  private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final CountDownLatch callerLeft = new CountDownLatch(1);

  /** What follows an answer. */
  public enum After {
    KEEP,
    CLOSE,
    RESET,
    WAIT
  }

  /**
   * An answer.
   *
   * @param until when the rest of the answer may go out
   */
  private record Step(String answer, CountDownLatch until, String rest, After after) {}

  /** Starts to listen on a free port. */
  public ScriptedEndpoint() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::accept, "endpoint");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns where it listens. */
  public InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Answers one request more. */
  public ScriptedEndpoint then(String answer, After after) {
    return then(answer, new CountDownLatch(0), "", after);
  }

  /** Answers one request more, the rest of it after a latch has opened. */
  public ScriptedEndpoint then(String answer, CountDownLatch until, String rest, After after) {
    steps.add(new Step(answer, until, rest, after));
    return this;
  }

  /** Returns the requests so far, head and body. */
  public List<String> requests() {
    return requests;
  }

  /** Returns the number of connections so far. */
  public int connections() {
    return connections.get();
  }

  /** Waits until the other side closed a connection on which the endpoint worked. */
  public CountDownLatch callerLeft() {
    return callerLeft;
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
      while (true) {
        String request = read(in);
        if (request.isEmpty()) {
          return;
        }
        requests.add(request);
        Step step = steps.take();
        Matcher id = REQUEST_ID.matcher(request);
        String answer = step.answer().replace(ID, id.find() ? id.group(1) : "");
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        step.until().await();
        socket.getOutputStream().write(step.rest().getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        if (!goOn(socket, in, step.after())) {
          return;
        }
      }
    } catch (IOException e) {
      callerLeft.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean goOn(Socket socket, InputStream in, After after)
      throws IOException, InterruptedException {
    if (after == After.RESET) {
      // The answer is to arrive before the reset.
      Thread.sleep(50);
      socket.setSoLinger(true, 0);
    } else if (after == After.WAIT) {
      while (in.read() >= 0) {
        // Waits for the end of the connection.
      }
      callerLeft.countDown();
    }
    return after == After.KEEP;
  }

  private static String read(InputStream in) throws IOException {
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
    Matcher length = LENGTH.matcher(text.toLowerCase(Locale.ROOT));
    int body = length.find() ? Integer.parseInt(length.group(1)) : 0;
    return text + new String(in.readNBytes(body), StandardCharsets.UTF_8);
  }
}
