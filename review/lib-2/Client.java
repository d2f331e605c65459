import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Calls of a client, each on a new channel that the client closes after the answer. */
final class Client {

  private static final int CONNECT_MILLIS = 1_000;

  private Client() {}

  /**
   * An answer.
   *
   * @param status its status; 0 if no whole answer came
   */
  record Answer(int status, String body) {}

  /** Returns the bytes of a request in HTTP/1.1. */
  static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body != null) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
    if (body != null) {
      whole.writeBytes(body);
    }
    return whole.toByteArray();
  }

  static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    try {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  static Answer call(
      int port, String method, String target, Map<String, String> headers, byte[] body, int millis) {
    try (Socket socket = connect(port)) {
      socket.setSoTimeout(millis);
      socket.getOutputStream().write(request(method, target, headers, body));
      HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      return answer == null
          ? new Answer(0, "closed")
          : new Answer(answer.status(), new String(answer.body, StandardCharsets.UTF_8));
    } catch (IOException e) {
      return new Answer(0, e.toString());
    }
  }

  /** One client attempt at a stream, which reads events as they come. */
  static final class Stream implements AutoCloseable {

    private final Socket socket;
    private final Thread reading;
    private final List<Long> events = new ArrayList<>();
    private int status;
    private String retryAfter = "";
    private String end = "open";

    private Stream(Socket socket) {
      this.socket = socket;
      this.reading = new Thread(this::read, "stream");
      reading.setDaemon(true);
    }

    static Stream open(int port, String target, Map<String, String> headers, byte[] body)
        throws IOException {
      Stream stream = new Stream(connect(port));
      stream.socket.getOutputStream().write(request("POST", target, headers, body));
      stream.reading.start();
      return stream;
    }

    private void read() {
      try {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        HttpMessage head = HttpMessage.readHead(in);
        if (head == null) {
          ended("closed without an answer");
          return;
        }
        synchronized (this) {
          status = head.status();
          retryAfter = head.headers.getOrDefault("retry-after", "");
        }
        if (!head.chunked()) {
          ended("whole answer " + head.status());
          return;
        }
        StringBuilder text = new StringBuilder();
        for (byte[] chunk = HttpMessage.readChunk(in);
            chunk.length > 0;
            chunk = HttpMessage.readChunk(in)) {
          text.append(new String(chunk, StandardCharsets.UTF_8));
          for (int at = text.indexOf("\n\n"); at >= 0; at = text.indexOf("\n\n")) {
            add(text.substring(0, at));
            text.delete(0, at + 2);
          }
        }
        ended("complete");
      } catch (IOException e) {
        ended("broken off");
      }
    }

    private synchronized void add(String event) {
      for (String line : event.split("\n")) {
        if (line.startsWith("id:")) {
          events.add(Long.parseLong(line.substring(3).trim()));
        }
      }
    }

    private synchronized void ended(String how) {
      if (end.equals("open")) {
        end = how;
      }
    }

    synchronized int status() {
      return status;
    }

    synchronized String retryAfter() {
      return retryAfter;
    }

    synchronized String end() {
      return end;
    }

    synchronized List<Long> events() {
      return new ArrayList<>(events);
    }

    /** Returns the number of the last event; 0 if there is none. */
    synchronized long lastEvent() {
      return events.isEmpty() ? 0 : events.get(events.size() - 1);
    }

    void await(long millis) throws InterruptedException {
      reading.join(Math.max(1, millis));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
